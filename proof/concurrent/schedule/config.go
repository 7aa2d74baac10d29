package schedule

// Config sets up a Schedule.
type Config struct {
	// Seed fixes the steps.
	Seed uint64
	// Table is the address of the table service.
	Table string
	// Upstreams are the addresses of engines and plain services.
	Upstreams []string
	// Steps is the number of faults.
	Steps int
}

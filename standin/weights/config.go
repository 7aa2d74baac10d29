package weights

// Config sets up a Weights.
type Config struct {
	// Address is the IP and port to listen on; port 0 takes any free port.
	Address string
	// Bytes is the size of the weights of each model, in bytes. The body of an
	// answer does not have this size, but takes as long.
	Bytes int64
	// BytesPerSecond is the rate that all readers share; 0 is no limit.
	BytesPerSecond float64
	// CallsPerSecond refuses calls over this rate; 0 is no limit.
	CallsPerSecond float64
}

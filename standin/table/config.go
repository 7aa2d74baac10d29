package table

// defaultPageItems is the number of items in a page of a query.
const defaultPageItems = 100

// Config sets up a Table.
type Config struct {
	// Address is the IP and port to listen on; port 0 takes any free port.
	Address string
	// ReadsPerSecond limits the items read; 0 is no limit.
	ReadsPerSecond float64
	// WritesPerSecond limits the items written; 0 is no limit.
	WritesPerSecond float64
	// PageItems bounds a page of a query; 0 is 100.
	PageItems int
}

func (c Config) withDefaults() Config {
	if c.PageItems <= 0 {
		c.PageItems = defaultPageItems
	}
	return c
}

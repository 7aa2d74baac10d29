package weights

// Config configures a Store.
type Config struct {
	// Address is the IP and port to listen on; port 0 means any free port.
	Address string
	// Bytes is the size of the weights of each model. A response takes as long as
	// this many bytes would, but is smaller.
	Bytes int64
	// BytesPerSecond is the read rate, shared by all readers; 0 means no limit.
	BytesPerSecond float64
	// CallsPerSecond is the rate above which calls are rejected; 0 means no limit.
	CallsPerSecond float64
}

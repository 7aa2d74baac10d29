package objects

// Defaults of a Config.
const (
	defaultBucket   = "sycamore"
	defaultPageKeys = 1000
)

// Config configures a Store.
type Config struct {
	// Address is the IP and port to listen on; port 0 means any free port.
	Address string
	// Bucket is the name of the bucket; empty means sycamore.
	Bucket string
	// CallsPerSecond is the rate above which calls are rejected; 0 means no limit.
	CallsPerSecond float64
	// PageKeys is the largest number of keys in a page of a list; 0 means 1000.
	PageKeys int
}

func (c Config) withDefaults() Config {
	if c.Bucket == "" {
		c.Bucket = defaultBucket
	}
	if c.PageKeys <= 0 {
		c.PageKeys = defaultPageKeys
	}
	return c
}

package objects

// The defaults of a Config.
const (
	defaultBucket   = "sycamore"
	defaultPageKeys = 1000
)

// Config sets up an Objects.
type Config struct {
	// Address is the IP and port to listen on; port 0 takes any free port.
	Address string
	// Bucket is the name of the bucket; empty is sycamore.
	Bucket string
	// CallsPerSecond limits the calls; 0 is no limit.
	CallsPerSecond float64
	// PageKeys bounds a page of a list; 0 is 1000.
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

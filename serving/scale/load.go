package scale

// Load is what a service has to carry, over all gateways.
type Load struct {
	// Open is the number of requests in progress.
	Open float64 `cbor:"1,keyasint"`
	// Reading is the number of prompt tokens a second that must be read.
	Reading float64 `cbor:"2,keyasint"`
}

// Add adds another load.
func (l *Load) Add(other Load) {
	l.Open += other.Open
	l.Reading += other.Reading
}

package rollout

// Outcomes counts how requests have ended.
type Outcomes struct {
	// Ended is the number of all of them, Failed that of those that failed and Slow that
	// of those that took long.
	Ended  uint64 `cbor:"1,keyasint,omitempty"`
	Failed uint64 `cbor:"2,keyasint,omitempty"`
	Slow   uint64 `cbor:"3,keyasint,omitempty"`
}

// Add adds other counts.
func (o *Outcomes) Add(other Outcomes) {
	o.Ended += other.Ended
	o.Failed += other.Failed
	o.Slow += other.Slow
}

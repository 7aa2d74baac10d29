package relay

// RecordUsage counts a request for its customer's usage report. It is emitted
// once for each request that an upstream runs.
type RecordUsage struct {
	// Customer names the customer; empty if there is none.
	Customer string
}

func (RecordUsage) isAction() {}

package history

// QuotaSwitches take protections of slices away.
type QuotaSwitches struct {
	// NoExpiry spends from a slice without a look at the clock.
	NoExpiry bool
	// ShortWatch lets some holders watch others for a quarter of the TTL.
	ShortWatch bool
	// NoMargin runs clocks whose rates differ by more than the margin covers.
	NoMargin bool
	// LateShrink spends from the old slice until a lower one is acknowledged.
	LateShrink bool
}

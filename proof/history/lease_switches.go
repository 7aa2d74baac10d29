package history

// LeaseSwitches take protections of leases away.
type LeaseSwitches struct {
	// NoCheck acts without a check of the deadline right before the act.
	NoCheck bool
	// ShortWatch lets some candidates watch for a quarter of the TTL.
	ShortWatch bool
	// NoMargin runs clocks whose rates differ by more than the margin covers.
	NoMargin bool
	// NoWaitOut gives orders to receivers that ignore fencing numbers at once.
	NoWaitOut bool
	// NoFence lets the checking receiver take every order.
	NoFence bool
	// NoTimeline hides the timeline of a table that is restored.
	NoTimeline bool
	// NoGuard lets a table that is restored apply transactions of former timelines at any
	// time.
	NoGuard bool
}

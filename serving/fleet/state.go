package fleet

// State is where an instance is in its life.
type State string

// The states of an instance. It passes through them in this order.
const (
	// Starting instances were asked for and take no work yet.
	Starting State = "starting"
	// Live instances take work.
	Live State = "live"
	// Leaving instances finish what they have and take no new work.
	Leaving State = "leaving"
	// Gone instances have ended.
	Gone State = "gone"
)

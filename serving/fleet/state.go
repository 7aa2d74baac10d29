package fleet

// State is the state of an instance in its life cycle.
type State string

// The states of an instance, in the order in which it passes through them.
const (
	// Starting means that the instance was requested and accepts no work yet.
	Starting State = "starting"
	// Live means that the instance accepts work.
	Live State = "live"
	// Leaving means that the instance finishes its work and accepts no new work.
	Leaving State = "leaving"
	// Gone means that the instance has ended.
	Gone State = "gone"
)

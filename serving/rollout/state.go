package rollout

// State is whether a roll-out has ended, and how.
type State string

// States.
const (
	// Running: requests are divided by the share of the stage.
	Running State = "running"
	// Completed: all requests go to the new version.
	Completed State = "completed"
	// RolledBack: no request goes to the new version.
	RolledBack State = "rolled_back"
)

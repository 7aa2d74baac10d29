package spread

// Topic is the kind of state that a SyncRequest asks for.
type Topic uint8

// The topics.
const (
	// TopicConfiguration is the newest confirmed configuration.
	TopicConfiguration Topic = iota + 1
	// TopicFleet is the view of the fleet.
	TopicFleet
	// TopicMembers is the list of members.
	TopicMembers
	// TopicReports is the set of processes that hold the newest configuration.
	TopicReports
)

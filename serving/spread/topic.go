package spread

// Topic is something that a node can ask a peer for.
type Topic uint8

// The topics.
const (
	// TopicConfiguration is the newest confirmed configuration.
	TopicConfiguration Topic = iota + 1
	// TopicFleet is the view of the fleet.
	TopicFleet
	// TopicMembers is the list of members.
	TopicMembers
	// TopicReports is the list of those that hold the newest configuration.
	TopicReports
)

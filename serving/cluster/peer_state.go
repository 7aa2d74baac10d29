package cluster

// PeerState is what is known of a gateway, for state dumps. Times are in milliseconds.
type PeerState struct {
	// Instance names the gateway, and Incarnation its process.
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// Ready is true if it takes requests, and Live if it has written its record lately.
	Ready bool `json:"ready"`
	Live  bool `json:"live"`
	// Ended is true if the process has said that it ends.
	Ended bool `json:"ended"`
	// SilentMillis is the time since its record last changed.
	SilentMillis int64 `json:"silent_ms"`
	// Share is the part of each limit, from 0 to 1, that is held back for it while its news
	// is not current: it may be cut off and go on by that. The part is reduced in
	// ReducedInMillis, if that is positive, and given up with the record.
	Share           float64 `json:"share"`
	ReducedInMillis int64   `json:"reduced_in_ms"`
}

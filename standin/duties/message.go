package duties

// message is a call on the wire.
type message struct {
	Window  int64             `json:"window_id"`
	Counts  map[string]uint64 `json:"counts"`
	Service string            `json:"service"`
	Zone    string            `json:"zone"`
	Count   int               `json:"desired_count"`
	Spot    bool              `json:"spot"`
}

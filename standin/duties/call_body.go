package duties

// callBody is the JSON body of POST /usage (window and counts) and of POST
// /scale (all else).
type callBody struct {
	Window  int64             `json:"window_id"`
	Counts  map[string]uint64 `json:"counts"`
	Service string            `json:"service"`
	Zone    string            `json:"zone"`
	Count   int               `json:"desired_count"`
	Spot    bool              `json:"spot"`
}

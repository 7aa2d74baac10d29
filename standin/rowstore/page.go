package rowstore

// page is the response to every call that succeeds or conflicts. NowMS is the
// clock of the store in milliseconds.
type page struct {
	Rows    []Row   `json:"rows"`
	HasMore bool    `json:"has_more"`
	Version uint64  `json:"ver"`
	NowMS   float64 `json:"now_ms"`
}

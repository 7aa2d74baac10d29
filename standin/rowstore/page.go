package rowstore

// page is an answer that holds rows.
type page struct {
	Rows    []Row   `json:"rows"`
	HasMore bool    `json:"has_more"`
	Version uint64  `json:"ver"`
	NowMS   float64 `json:"now_ms"`
}

package intent

// Configuration is a confirmed version of what the federation serves: the
// latest confirmed document of each member. It is immutable.
type Configuration struct {
	// Version is the number of confirmations; 0 if there was none.
	Version uint64 `json:"version"`
	// Plan is the ID of the plan that was confirmed.
	Plan string `json:"plan"`
	// TotalMicrosPerHour is the limit of what all members together spend an
	// hour.
	TotalMicrosPerHour Micros `json:"total_micros_per_hour"`
	// Documents holds the documents in the order of the members' names.
	Documents []Document `json:"documents"`
}

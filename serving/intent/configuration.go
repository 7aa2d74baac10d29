package intent

// Configuration is a confirmed version of what the federation serves: the
// latest confirmed document of each member. It is never changed once made.
type Configuration struct {
	// Version counts the confirmations; 0 means that nothing was confirmed.
	Version uint64 `json:"version"`
	// Plan names the plan that was confirmed.
	Plan string `json:"plan"`
	// TotalMicrosPerHour bounds what all members together spend an hour.
	TotalMicrosPerHour Micros `json:"total_micros_per_hour"`
	// Documents holds the documents in the order of the members' names.
	Documents []Document `json:"documents"`
}

package intent

// Budget is a member's slice of the common budget.
type Budget struct {
	// MicrosPerHour is the limit of what the member's instances cost an hour.
	MicrosPerHour Micros `json:"micros_per_hour" validate:"min=0"`
}

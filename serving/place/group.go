package place

// Group is a number of instances of the same option.
type Group struct {
	Option
	// Count is the number of instances.
	Count int `json:"count"`
	// MicrosPerHour is the price of one instance.
	MicrosPerHour int64 `json:"micros_per_hour"`
}

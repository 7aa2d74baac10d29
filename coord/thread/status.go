package thread

// Status is the state of one duty, for debug dumps.
type Status struct {
	// Duty is the name of the duty.
	Duty string `json:"duty"`
	// Alive is false after the duty has ended.
	Alive bool `json:"alive"`
}

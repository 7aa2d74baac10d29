package entry

// drainMessage asks the process to stop.
type drainMessage struct{}

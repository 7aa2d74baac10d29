package entry

// reloadMessage asks for the settings file to be read again.
type reloadMessage struct{}

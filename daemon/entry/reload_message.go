package entry

// reloadMessage asks the reloader to reread the settings file.
type reloadMessage struct{}

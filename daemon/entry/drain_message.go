package entry

// drainMessage asks the process to stop, or reports progress.
type drainMessage struct {
	// endPublished reports that the store has the record which says that this process ends,
	// or that it has none of it.
	endPublished bool
}

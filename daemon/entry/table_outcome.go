package entry

// tableOutcome tells what became of an update of a followed table.
type tableOutcome struct {
	timeline          uint64
	isList, isApplied bool
}

// label returns the outcome as the label of a metric.
func (o tableOutcome) label() string {
	if o.isApplied {
		return "applied"
	}
	return "refused"
}

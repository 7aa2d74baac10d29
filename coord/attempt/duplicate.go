package attempt

// Duplicate says that the request is recorded already, and that this claim
// never sends it. The caller gets the answer of a Completed record, the stream
// of the holder of a Claimed one, and the outcome unknown of an Unknown one. A
// NotRun record is found only by a successor: another successor has refused the
// request, and nobody runs it.
type Duplicate struct {
	// Record is the record that was found.
	Record Record
	// Version is the version of its row.
	Version uint64
}

func (Duplicate) isStep() {}

package attempt

// Duplicate reports that another claim has recorded the request, so that this
// claim never sends it. How the caller responds depends on the state of the
// record:
//
//   - Completed: with the recorded answer.
//   - Claimed: with the stream of the record's holder.
//   - Unknown: that the outcome is unknown.
//   - NotRun: that the request was refused. Only a successor finds this state:
//     another successor has refused the request, and nobody runs it.
type Duplicate struct {
	// Record is the record that was found.
	Record Record
	// Version is the version of its row.
	Version uint64
}

func (Duplicate) isStep() {}

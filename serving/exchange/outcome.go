package exchange

// Outcome tells what became of an update.
type Outcome struct {
	// Timeline and IsList are those of the update.
	Timeline uint64
	IsList   bool
	Verdict  Verdict
}

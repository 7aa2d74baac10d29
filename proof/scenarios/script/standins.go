package script

// The paths of the switches of stand-ins.
const (
	faultsPath = "/standin/faults"
	noticePath = "/standin/notice"
)

func fault(w *World, args []string) error {
	if len(args) != 2 {
		return &UsageError{Usage: "fault ADDRESS JSON"}
	}
	_, err := w.fetch.Post(args[0], faultsPath, []byte(args[1]))
	return err
}

func notice(w *World, args []string) error {
	if len(args) != 2 {
		return &UsageError{Usage: "notice ADDRESS JSON"}
	}
	_, err := w.fetch.Post(args[0], noticePath, []byte(args[1]))
	return err
}

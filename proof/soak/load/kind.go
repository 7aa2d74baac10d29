package load

// Kind is the kind of a request.
type Kind string

// The kinds.
const (
	// Once may run once at most.
	Once Kind = "once"
	// Single is a stream that may run once at most.
	Single Kind = "single"
	// Stream may be resumed.
	Stream Kind = "stream"
	// Safe may be repeated.
	Safe Kind = "safe"
	// Newest may be repeated, and goes to the route of the newest configuration.
	Newest Kind = "newest"
)

// kinds are drawn from evenly.
var kinds = []Kind{Once, Single, Stream, Safe, Newest}

// MayRepeat reports whether a request of this kind may run again.
func (k Kind) MayRepeat() bool { return k != Once && k != Single }

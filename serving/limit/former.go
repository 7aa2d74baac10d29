package limit

import "time"

// Former is what a former process of this gateway has published.
type Former struct {
	Used     map[string]Use
	Reserves map[string]Reserve
	// Age is the time since it counted that.
	Age time.Duration
	// Ended is true if it has ended in an orderly way and used nothing since.
	Ended bool
}

package limit

import "time"

// HeldShare is what is held back of a limit for a gateway whose news is not current any
// more, for dumps.
type HeldShare struct {
	// Instance names the gateway.
	Instance string `json:"instance"`
	// Share is the part of the limit, from 0 to 1, that it may go on using.
	Share float64 `json:"share"`
	// Amount is what it may have used of that in the window.
	Amount float64 `json:"amount"`
	// NewsAge is the time since it counted the use that it last published.
	NewsAge time.Duration `json:"news_age_ns"`
}

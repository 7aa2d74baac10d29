package httpd

// turns are the exchanges of one connection that have not ended. A connection replaces
// them as a whole, so that no exchange can overtake another one.
type turns struct {
	// current is being served.
	current *Exchange
	// queued is served next; nil if there is none.
	queued *Exchange
}

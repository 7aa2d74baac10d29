package hosttest

// Duty is something with a duty that ends when it is closed, such as a stand-in
// or an HTTP client.
type Duty interface {
	// Run is the duty.
	Run() error
	// Close ends the duty.
	Close()
}

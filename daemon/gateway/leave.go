package gateway

// leave stops the taking of requests. The drain duty asks again and again
// whether all have ended.
type leave struct{}

func (leave) isDispatchMessage() {}

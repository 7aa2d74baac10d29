package gateway

// startDrain makes dispatch refuse new requests. Open ones continue.
type startDrain struct{}

func (startDrain) isDispatchMessage() {}

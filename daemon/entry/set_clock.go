package entry

import "time"

// setClock says how far true time, since the start of 1970, is ahead of the
// steady clock.
type setClock struct {
	ahead time.Duration
}

func (setClock) isDispatchMessage() {}

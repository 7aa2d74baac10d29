package entry

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// maxPanics is the number of panics within panicWindow at which a duty gives up:
	// its state may be wrong, and a new process starts from the store.
	maxPanics   = 5
	panicWindow = 10 * time.Second
)

// containment keeps a duty running when the handling of a single message panics.
type containment struct {
	duty   string
	log    zerolog.Logger
	panics []clock.Instant // the latest ones
}

// run handles a message. It reports false if that panicked. After maxPanics within
// panicWindow it panics itself, which ends the process.
func (c *containment) run(message any, now clock.Instant, handle func()) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			c.panicked(message, v, now)
		}
	}()
	handle()
	return true
}

func (c *containment) panicked(message, value any, now clock.Instant) {
	c.log.Error().Str("duty", c.duty).Str("message", fmt.Sprintf("%T", message)).
		Str("cause", fmt.Sprint(value)).Bytes("stack", debug.Stack()).Msg("message_failed")
	c.panics = append(c.panics, now)
	if len(c.panics) < maxPanics {
		return
	}
	if now.Sub(c.panics[0]) < panicWindow {
		panic(value)
	}
	c.panics = c.panics[1:]
}

package entry

import (
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

func (c *coordinator) markUnavailable(err error) {
	if !c.isUnavailable {
		c.isUnavailable = true
		c.log.Warn().Str("dependency", "store").Str("by", "cluster").Str("cause", err.Error()).Msg("dependency_lost")
	}
}

func (c *coordinator) markAvailable() {
	if c.isUnavailable {
		c.isUnavailable = false
		c.log.Info().Str("dependency", "store").Str("by", "cluster").Msg("dependency_back")
	}
}

// reserve reserves a slot in the inbox for the result of a call. If it returns
// false, the call must not be made.
func (c *coordinator) reserve() bool {
	if err := c.inbox.Reserve(); err != nil {
		c.log.Warn().Str("cause", err.Error()).Msg("call_not_made")
		return false
	}
	return true
}

// offerResult sends the result of a call through its reserved slot. That fails
// only while the process ends.
func offerResult[T any](inbox *ring.Ring[T], m T, log zerolog.Logger) {
	if err := inbox.OfferReserved(m); err != nil {
		log.Debug().Str("cause", err.Error()).Msg("answer_after_end")
	}
}

// offerOrLog sends a message, or logs that it was dropped because the ring is full.
func offerOrLog[T any](inbox *ring.Ring[T], m T, log zerolog.Logger) {
	if err := inbox.Offer(m); err != nil {
		log.Warn().Str("cause", err.Error()).Msg("message_dropped")
	}
}

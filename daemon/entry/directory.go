package entry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/caller"
)

// maxAddresses bounds the number of addresses in one response.
const maxAddresses = 64

// directory is the duty that serves the addresses of the ready gateways to callers
// and the readiness check to the platform.
type directory struct {
	inbox *ring.Ring[directoryMessage]
	// ttl is how long callers may cache the addresses.
	ttl       time.Duration
	log       zerolog.Logger
	addresses []string
	// nextAddress is the index of the first address in the latest response, if not
	// all addresses fit in one.
	nextAddress int
	isReady     bool
	isLeaving   bool
}

func (d *directory) run() error {
	for {
		m, err := d.inbox.Take()
		if err != nil {
			return nil
		}
		d.handle(m)
	}
}

func (d *directory) handle(m directoryMessage) {
	switch {
	case m.exchange != nil:
		d.respond(m.exchange)
	case m.addresses != nil:
		d.addresses = m.addresses
	case m.isConfigured:
		d.isReady = true
	case m.isLeaving:
		d.isLeaving = true
	}
}

func (d *directory) respond(x *httpd.Exchange) {
	var err error
	switch x.Path {
	case caller.PathReady:
		err = caller.ReplyReady(x, d.isReady && !d.isLeaving)
	case caller.PathResolve:
		err = caller.ReplyAddresses(x, d.selectAddresses(), d.ttl)
	default:
		err = caller.ReplyNotFound(x)
	}
	if err != nil {
		d.log.Debug().Str("caller", x.Remote).Str("cause", err.Error()).Msg("caller_gone")
	}
}

// selectAddresses returns the addresses for one response. If there are more than
// maxAddresses, successive responses rotate through them.
func (d *directory) selectAddresses() []string {
	if len(d.addresses) <= maxAddresses {
		return d.addresses
	}
	d.nextAddress = (d.nextAddress + maxAddresses) % len(d.addresses)
	list := append([]string{}, d.addresses[d.nextAddress:]...)
	list = append(list, d.addresses[:d.nextAddress]...)
	return list[:maxAddresses]
}

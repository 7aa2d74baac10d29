package entry

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/platform/caller"
)

// maxAddresses bounds the addresses that a caller is told.
const maxAddresses = 64

// directory is the duty that tells callers which addresses to use, and the
// platform whether this process takes requests.
type directory struct {
	inbox     *ring.Ring[directoryMessage]
	keep      time.Duration
	log       zerolog.Logger
	addresses []string
	turn      int
	isReady   bool
	isLeaving bool
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
		d.answer(m.exchange)
	case m.addresses != nil:
		d.addresses = m.addresses
	case m.configured:
		d.isReady = true
	case m.isLeaving:
		d.isLeaving = true
	}
}

func (d *directory) answer(x *httpd.Exchange) {
	var err error
	switch x.Path {
	case caller.PathReady:
		err = caller.Ready(x, d.isReady && !d.isLeaving)
	case caller.PathResolve:
		err = caller.Addresses(x, d.choose(), d.keep)
	default:
		err = caller.NotFound(x)
	}
	if err != nil {
		d.log.Debug().Str("caller", x.Remote).Str("cause", err.Error()).Msg("caller_gone")
	}
}

// choose returns the addresses that a caller is told, by turns if there are more
// than it may be told at once.
func (d *directory) choose() []string {
	if len(d.addresses) <= maxAddresses {
		return d.addresses
	}
	d.turn = (d.turn + maxAddresses) % len(d.addresses)
	list := append([]string{}, d.addresses[d.turn:]...)
	list = append(list, d.addresses[:d.turn]...)
	return list[:maxAddresses]
}

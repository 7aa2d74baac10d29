package follow

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// Follow is the follow duty. It implements link.Handler. All methods may be
// called by other duties: they offer to the inbox of the duty and return.
type Follow struct {
	config Config
	clock  clock.System
	inbox  *ring.Ring[event]
	counts *counts
}

// New makes a Follow.
func New(config Config) *Follow {
	return &Follow{
		config: config,
		inbox:  ring.New[event]("follow", inboxSlots),
		counts: newCounts(config.Registry),
	}
}

// Open starts the duty in a group. The links must be open.
func (f *Follow) Open(group *thread.Group, links Links) {
	d := newDuty(f, links)
	group.Start("follow", d.run)
}

// Close ends the duty.
func (f *Follow) Close() {
	f.inbox.Close()
}

// PublishConfiguration takes a confirmed configuration that was read from the
// store. A version that is not higher than the one in force changes nothing.
func (f *Follow) PublishConfiguration(c *intent.Configuration) error {
	return f.request(configurationPublished{configuration: c})
}

// PublishFleet takes a change of the fleet by the holder of its lease; epoch is
// the fencing number of the lease. A change under an old lease is logged and
// changes nothing. Instances that are listed already and removals of others
// are left out, so that a holder may publish its whole list.
func (f *Follow) PublishFleet(epoch uint64, upserts []fleet.Instance, removed []string) error {
	return f.request(fleetPublished{epoch: epoch, upserts: upserts, removed: removed})
}

// PublishNotices takes reclaim notices that this process learnt from the cloud.
// It needs no lease, so that a notice reaches every gateway while the holder of
// the fleet lease is frozen.
func (f *Follow) PublishNotices(notices []spread.Notice) error {
	return f.request(noticesPublished{notices: notices})
}

// SetLeaving tells all processes that this one takes no new work.
func (f *Follow) SetLeaving() error {
	return f.request(stateSet{state: spread.Leaving})
}

// SetGone tells all processes that this one ends.
func (f *Follow) SetGone() error {
	return f.request(stateSet{state: spread.Gone})
}

// Await offers a Progress to reply once every member that is not gone has a
// version or a higher one, not before this process has had time to learn of all
// members, and at the latest after wait. With a wait of zero it answers at
// once.
func (f *Follow) Await(version uint64, wait time.Duration, reply *ring.Ring[spread.Progress]) error {
	return f.request(awaited{version: version, deadline: f.clock.Now().Add(wait), reply: reply})
}

// Dump implements report.Source.
func (f *Follow) Dump(reply *ring.Ring[report.Section]) error {
	return f.request(dumpAsked{reply: reply})
}

// RingStats returns the state of the inbox.
func (f *Follow) RingStats() ring.Stats {
	return f.inbox.Stats()
}

// Up implements link.Handler.
func (f *Follow) Up(peer wire.Hello) {
	_ = f.inbox.Offer(linkUp{id: peer.ID()})
	if f.config.Other != nil {
		f.config.Other.Up(peer)
	}
}

// Receive implements link.Handler. When the inbox is full the message is
// dropped: the next heartbeat shows what is missing.
func (f *Follow) Receive(from wire.Hello, m wire.Message) {
	message, ok := m.(spread.Message)
	if !ok {
		if f.config.Other != nil {
			f.config.Other.Receive(from, m)
		}
		return
	}
	if err := f.request(received{from: from.ID(), message: message}); err != nil {
		f.counts.dropped.Inc()
	}
}

// Down implements link.Handler.
func (f *Follow) Down(peer wire.Hello, err error) {
	_ = f.inbox.Offer(linkDown{id: peer.ID(), err: err})
	if f.config.Other != nil {
		f.config.Other.Down(peer, err)
	}
}

func (f *Follow) request(e event) error {
	if f.inbox.Stats().Depth >= inboxSlotsForMessages {
		return &ring.FullError{Ring: "follow", Capacity: inboxSlotsForMessages}
	}
	return f.inbox.Offer(e)
}

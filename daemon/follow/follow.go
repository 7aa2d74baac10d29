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

// Follow is the handle of the follow duty. It implements link.Handler. Its
// methods may be called from any thread: they offer to the inbox of the duty
// and do not block.
type Follow struct {
	config  Config
	clock   clock.System
	inbox   *ring.Ring[event]
	metrics *metrics
}

// New makes a Follow. Open starts its duty.
func New(config Config) *Follow {
	return &Follow{
		config:  config,
		inbox:   ring.New[event]("follow", inboxSlots),
		metrics: newMetrics(config.Registry),
	}
}

// Open starts the duty in a group. The links must be open already.
func (f *Follow) Open(group *thread.Group, links Links) {
	d := newDuty(f, links)
	group.Start("follow", d.run)
}

// Close ends the duty.
func (f *Follow) Close() {
	f.inbox.Close()
}

// PublishConfiguration publishes a confirmed configuration that was read from
// the store. It has no effect if its version is not higher than the one in
// force.
func (f *Follow) PublishConfiguration(c *intent.Configuration) error {
	return f.offer(configurationPublished{configuration: c})
}

// PublishFleet publishes a change of the fleet made by the holder of the fleet
// lease; epoch is the fencing number of that lease. A change from an older
// epoch is logged and has no effect. Instances that are already listed
// unchanged and removals of unlisted ones are ignored, so a holder may publish
// its whole list.
func (f *Follow) PublishFleet(epoch uint64, upserts []fleet.Instance, removed []string) error {
	return f.offer(fleetPublished{epoch: epoch, upserts: upserts, removed: removed})
}

// PublishNotices publishes reclaim notices that this process received from the
// cloud. It needs no lease, so a notice reaches every gateway even while the
// holder of the fleet lease is frozen.
func (f *Follow) PublishNotices(notices []spread.Notice) error {
	return f.offer(noticesPublished{notices: notices})
}

// SetLeaving announces to all processes that this one takes no new work.
func (f *Follow) SetLeaving() error {
	return f.offer(stateSet{state: spread.Leaving})
}

// SetGone announces to all processes that this one is ending.
func (f *Follow) SetGone() error {
	return f.offer(stateSet{state: spread.Gone})
}

// Await offers a Progress to reply once every member that is not gone has the
// version or a higher one, but not before this process has had time to learn
// of all members. If that takes longer than wait, it offers the progress so
// far. A wait of zero answers at once.
func (f *Follow) Await(version uint64, wait time.Duration, reply *ring.Ring[spread.Progress]) error {
	return f.offer(awaitRequest{version: version, deadline: f.clock.Now().Add(wait), reply: reply})
}

// Dump implements report.Source.
func (f *Follow) Dump(reply *ring.Ring[report.Section]) error {
	return f.offer(dumpRequest{reply: reply})
}

// RingStats returns the statistics of the inbox.
func (f *Follow) RingStats() ring.Stats {
	return f.inbox.Stats()
}

// Up implements link.Handler.
func (f *Follow) Up(peer wire.Hello) {
	_ = f.inbox.Offer(linkUp{id: peer.ID()})
	if f.config.Next != nil {
		f.config.Next.Up(peer)
	}
}

// Receive implements link.Handler. If the inbox is full, the message is
// dropped; the next heartbeat shows what is missing.
func (f *Follow) Receive(from wire.Hello, m wire.Message) {
	message, ok := m.(spread.Message)
	if !ok {
		if f.config.Next != nil {
			f.config.Next.Receive(from, m)
		}
		return
	}
	if err := f.offer(messageReceived{from: from.ID(), message: message}); err != nil {
		f.metrics.dropped.Inc()
	}
}

// Down implements link.Handler.
func (f *Follow) Down(peer wire.Hello, err error) {
	_ = f.inbox.Offer(linkDown{id: peer.ID(), err: err})
	if f.config.Next != nil {
		f.config.Next.Down(peer, err)
	}
}

// offer offers anything but a link event to the inbox, and leaves the slots
// above inboxMessageLimit free.
func (f *Follow) offer(e event) error {
	if f.inbox.Stats().Depth >= inboxMessageLimit {
		return &ring.FullError{Ring: "follow", Capacity: inboxMessageLimit}
	}
	return f.inbox.Offer(e)
}

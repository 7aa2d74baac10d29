package follow

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/link"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// duty is the state that the follow duty owns.
type duty struct {
	*Follow
	links   Links
	node    *spread.Node
	pending *pending
	// deliverAt is when a refused update may be delivered again.
	deliverAt clock.Instant
	// settledAt is when this process is taken to know all members.
	settledAt clock.Instant
	waiting   []awaited
	// targets are those that the links have not taken yet; nil if they have.
	targets []link.Target
}

func newDuty(f *Follow, links Links) *duty {
	now := f.clock.Now()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := memberOf(links.Self())
	return &duty{
		Follow:  f,
		links:   links,
		node:    spread.NewNode(f.config.Spread, self, now, random),
		pending: newPending(),
		// Until the others have told their lists, a version may be missing at a
		// process that is not known here.
		settledAt: now.Add(settleTime),
	}
}

func memberOf(h wire.Hello) spread.Member {
	return spread.Member{
		ID:            h.ID(),
		Role:          h.Role,
		Region:        h.Region,
		FailureDomain: h.FailureDomain,
		PublicAddress: h.PublicAddress,
		LinkAddress:   h.LinkAddress,
		Incarnation:   h.Incarnation,
	}
}

func (d *duty) run() error {
	d.pending.membersChanged = true
	d.act(d.node.Start(d.clock.Now()))
	for {
		e, ok, err := d.inbox.TakeUntil(d.wait(d.clock.Now()))
		if err != nil {
			return nil
		}
		now := d.clock.Now()
		if ok {
			d.act(d.handle(now, e))
		}
		if d.node.UntilNextTick(now) == 0 {
			d.act(d.node.Tick(now))
		}
		d.setTargets()
		d.deliver(now)
		d.answer(now)
	}
}

func (d *duty) wait(now clock.Instant) time.Duration {
	wait := d.node.UntilNextTick(now)
	if !d.pending.isEmpty() {
		wait = min(wait, d.deliverAt.Sub(now))
	}
	for _, w := range d.waiting {
		wait = min(wait, w.deadline.Sub(now))
		if now.Before(d.settledAt) {
			wait = min(wait, d.settledAt.Sub(now))
		}
	}
	return max(wait, 0)
}

func (d *duty) handle(now clock.Instant, e event) []spread.Action {
	switch e := e.(type) {
	case linkUp:
		return d.node.LinkUp(now, e.id)
	case linkDown:
		return d.node.LinkDown(now, e.id, isLost(e.err))
	case received:
		return d.node.Receive(now, e.from, e.message)
	case configurationPublished:
		return d.node.PublishConfiguration(now, e.configuration)
	case fleetPublished:
		return d.publishFleet(now, e)
	case noticesPublished:
		return d.node.PublishNotices(now, e.notices)
	case stateSet:
		return d.node.SetState(now, e.state)
	case awaited:
		d.waiting = append(d.waiting, e)
	case dumpAsked:
		d.dump(e)
	}
	return nil
}

// isLost reports whether the peer may have failed.
func isLost(err error) bool {
	switch err.(type) {
	case *link.ReleasedError, *link.ReplacedError:
		return false
	default:
		return true
	}
}

func (d *duty) publishFleet(now clock.Instant, e fleetPublished) []spread.Action {
	actions, err := d.node.PublishFleet(now, e.epoch, e.upserts, e.removed)
	if err != nil {
		d.config.Log.Warn().Err(err).Msg("fleet_change_refused")
	}
	return actions
}

func (d *duty) dump(e dumpAsked) {
	state := Section{Summary: d.node.Summary(), Undelivered: !d.pending.isEmpty(), Waiting: len(d.waiting)}
	// A report that no longer waits has closed or filled its ring.
	_ = e.reply.Offer(report.Section{Name: SectionName, State: state})
}

func (d *duty) act(actions []spread.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case spread.Send:
			d.send(a)
		case spread.DropLink:
			d.config.Log.Warn().Str("peer", a.ID).Msg("peer_silent")
			_ = d.links.Drop(a.ID) // asked again at the next tick
		case spread.SetTargets:
			d.targets = linkTargets(a.Targets)
		case spread.ConfigurationChanged:
			d.pending.configuration = a.Configuration
			d.counts.configuration.Set(float64(a.Configuration.Version))
			d.config.Log.Info().Uint64("version", a.Configuration.Version).Str("from", a.From).Msg("configuration_taken")
		case spread.FleetChanged:
			d.onFleet(a)
		case spread.MembersChanged:
			d.onMembers(a)
		}
	}
}

// send offers a message to its link. What no link takes is asked for by the
// peer after a later heartbeat.
func (d *duty) send(a spread.Send) {
	if err := d.links.Send(a.To, a.Message); err != nil {
		d.counts.unsent.Inc()
		var noLink *link.NoLinkError
		if !errors.As(err, &noLink) {
			d.config.Log.Debug().Str("peer", a.To).Err(err).Msg("message_unsent")
		}
	}
}

func linkTargets(targets []spread.Target) []link.Target {
	out := make([]link.Target, 0, len(targets))
	for _, t := range targets {
		out = append(out, link.Target{ID: t.ID, Address: t.Address})
	}
	return out
}

func (d *duty) setTargets() {
	if d.targets != nil && d.links.SetTargets(d.targets) == nil {
		d.targets = nil
	}
}

func (d *duty) onFleet(a spread.FleetChanged) {
	d.pending.addFleet(a)
	position := d.node.FleetPosition()
	d.counts.fleetEpoch.Set(float64(position.Epoch))
	d.counts.fleetSequence.Set(float64(position.Sequence))
	d.config.Log.Info().Uint64("epoch", position.Epoch).Uint64("sequence", position.Sequence).
		Int("upserts", len(a.Upserts)).Int("removed", len(a.Removed)).Msg("fleet_changed")
}

func (d *duty) onMembers(a spread.MembersChanged) {
	d.pending.membersChanged = true
	d.counts.members.Reset()
	for _, m := range d.node.Members() {
		d.counts.members.WithLabelValues(m.Role, m.State.String()).Inc()
	}
	for _, m := range a.Changed {
		d.config.Log.Info().Str("member", m.ID).Stringer("state", m.State).
			Uint64("incarnation", m.Incarnation).Msg("member_changed")
	}
}

// deliver tells the owner what has changed.
func (d *duty) deliver(now clock.Instant) {
	if d.pending.isEmpty() || now.Before(d.deliverAt) {
		return
	}
	if err := d.config.Deliver(d.pending.update(d.node)); err != nil {
		d.counts.updatesRefused.Inc()
		d.deliverAt = now.Add(deliverRetry)
		return
	}
	d.counts.updates.Inc()
	d.pending = newPending()
}

// answer tells the callers of Await whose version is everywhere or whose time
// is over.
func (d *duty) answer(now clock.Instant) {
	var still []awaited
	for _, w := range d.waiting {
		progress := d.node.Progress(w.version)
		progress.Settled = !now.Before(d.settledAt)
		isOpen := len(progress.Missing) > 0 || !progress.Settled
		if isOpen && now.Before(w.deadline) {
			still = append(still, w)
			continue
		}
		// A caller that no longer waits has closed or filled its ring.
		_ = w.reply.Offer(progress)
	}
	d.waiting = still
}

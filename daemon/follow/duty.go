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

// duty is the state owned by the thread of the follow duty.
type duty struct {
	*Follow
	links   Links
	node    *spread.Node
	pending *pending
	// deliverAt is when a refused update may be delivered again.
	deliverAt clock.Instant
	// settledAt is when this process is taken to know all members.
	settledAt clock.Instant
	awaits    []awaitRequest
	// targets are the link targets that the links have not accepted yet; nil
	// if there are none.
	targets []link.Target
}

func newDuty(f *Follow, links Links) *duty {
	now := f.clock.Now()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := selfMember(links.Self())
	return &duty{
		Follow:  f,
		links:   links,
		node:    spread.NewNode(f.config.Spread, self, now, random),
		pending: newPending(),
		// Until the other members have sent their member lists, a version may be
		// missing at a process that is not known here.
		settledAt: now.Add(settleTime),
	}
}

func selfMember(h wire.Hello) spread.Member {
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
	d.execute(d.node.Start(d.clock.Now()))
	for {
		e, ok, err := d.inbox.TakeUntil(d.wait(d.clock.Now()))
		if err != nil {
			return nil
		}
		now := d.clock.Now()
		if ok {
			d.execute(d.handle(now, e))
		}
		if d.node.UntilNextTick(now) == 0 {
			d.execute(d.node.Tick(now))
		}
		d.setTargets()
		d.deliver(now)
		d.answerAwaits(now)
	}
}

// wait returns the time until the next tick, delivery or answer is due.
func (d *duty) wait(now clock.Instant) time.Duration {
	wait := d.node.UntilNextTick(now)
	if !d.pending.isEmpty() {
		wait = min(wait, d.deliverAt.Sub(now))
	}
	for _, w := range d.awaits {
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
		return d.node.LinkDown(now, e.id, mayHaveFailed(e.err))
	case messageReceived:
		return d.node.Receive(now, e.from, e.message)
	case configurationPublished:
		return d.node.PublishConfiguration(now, e.configuration)
	case fleetPublished:
		return d.publishFleet(now, e)
	case noticesPublished:
		return d.node.PublishNotices(now, e.notices)
	case stateSet:
		return d.node.SetState(now, e.state)
	case awaitRequest:
		d.awaits = append(d.awaits, e)
	case dumpRequest:
		d.dump(e)
	}
	return nil
}

// mayHaveFailed reports whether a link that ended with err may have ended
// because the peer failed.
func mayHaveFailed(err error) bool {
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

func (d *duty) dump(e dumpRequest) {
	state := Section{Summary: d.node.Summary(), Undelivered: !d.pending.isEmpty(), Waiting: len(d.awaits)}
	// An error means that the report no longer waits for the section.
	_ = e.reply.Offer(report.Section{Name: SectionName, State: state})
}

// execute executes the actions of the node.
func (d *duty) execute(actions []spread.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case spread.Send:
			d.send(a)
		case spread.DropLink:
			d.config.Log.Warn().Str("peer", a.ID).Msg("peer_silent")
			_ = d.links.Drop(a.ID) // repeated at the next tick if it fails
		case spread.SetTargets:
			d.targets = linkTargets(a.Targets)
		case spread.ConfigurationChanged:
			d.pending.configuration = a.Configuration
			d.metrics.configuration.Set(float64(a.Configuration.Version))
			d.config.Log.Info().Uint64("version", a.Configuration.Version).Str("from", a.From).Msg("configuration_taken")
		case spread.FleetChanged:
			d.fleetChanged(a)
		case spread.MembersChanged:
			d.membersChanged(a)
		}
	}
}

// send offers a message to the link of a peer. If no link takes it, the peer
// requests what it misses after a later heartbeat.
func (d *duty) send(a spread.Send) {
	if err := d.links.Send(a.To, a.Message); err != nil {
		d.metrics.unsent.Inc()
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

// setTargets passes new link targets to the links. If they refuse them, the
// next round of the duty tries again.
func (d *duty) setTargets() {
	if d.targets != nil && d.links.SetTargets(d.targets) == nil {
		d.targets = nil
	}
}

func (d *duty) fleetChanged(a spread.FleetChanged) {
	d.pending.addFleet(a)
	position := d.node.FleetPosition()
	d.metrics.fleetEpoch.Set(float64(position.Epoch))
	d.metrics.fleetSequence.Set(float64(position.Sequence))
	d.config.Log.Info().Uint64("epoch", position.Epoch).Uint64("sequence", position.Sequence).
		Int("upserts", len(a.Upserts)).Int("removed", len(a.Removed)).Msg("fleet_changed")
}

func (d *duty) membersChanged(a spread.MembersChanged) {
	d.pending.membersChanged = true
	d.metrics.members.Reset()
	for _, m := range d.node.Members() {
		d.metrics.members.WithLabelValues(m.Role, m.State.String()).Inc()
	}
	for _, m := range a.Changed {
		d.config.Log.Info().Str("member", m.ID).Stringer("state", m.State).
			Uint64("incarnation", m.Incarnation).Msg("member_changed")
	}
}

// deliver passes the pending changes to the owner.
func (d *duty) deliver(now clock.Instant) {
	if d.pending.isEmpty() || now.Before(d.deliverAt) {
		return
	}
	if err := d.config.Deliver(d.pending.update(d.node)); err != nil {
		d.metrics.updatesRefused.Inc()
		d.deliverAt = now.Add(deliverRetryInterval)
		return
	}
	d.metrics.updates.Inc()
	d.pending = newPending()
}

// answerAwaits answers the callers of Await whose version has reached all
// members, or whose deadline has passed.
func (d *duty) answerAwaits(now clock.Instant) {
	var remaining []awaitRequest
	for _, w := range d.awaits {
		progress := d.node.Progress(w.version)
		progress.Settled = !now.Before(d.settledAt)
		isOpen := len(progress.Missing) > 0 || !progress.Settled
		if isOpen && now.Before(w.deadline) {
			remaining = append(remaining, w)
			continue
		}
		// An error means that the caller no longer waits.
		_ = w.reply.Offer(progress)
	}
	d.awaits = remaining
}

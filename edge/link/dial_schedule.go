package link

import (
	"math/rand/v2"
	"time"
)

// dialSchedule schedules the attempts to connect to all targets. It is owned by
// the links thread.
type dialSchedule struct {
	config    *Config
	byAddress map[string]*dialState
}

func newDialSchedule(config *Config) *dialSchedule {
	return &dialSchedule{config: config, byAddress: make(map[string]*dialState)}
}

// set replaces the targets. Targets that are already known keep their backoff.
func (s *dialSchedule) set(targets []Target) {
	next := make(map[string]*dialState, len(targets))
	for _, t := range targets {
		d, ok := s.byAddress[t.Address]
		if !ok {
			d = &dialState{backoff: backoff{base: s.config.RetryBase, max: s.config.RetryMax}}
		}
		d.target = t
		next[t.Address] = d
	}
	s.byAddress = next
}

// has reports whether an address is that of a target.
func (s *dialSchedule) has(address string) bool {
	return s.byAddress[address] != nil
}

// onFailure schedules the next attempt after a failed one.
func (s *dialSchedule) onFailure(t Target) {
	if d, ok := s.byAddress[t.Address]; ok {
		d.busy = false
		d.due = time.Now().Add(d.backoff.next())
	}
}

// onPeerFull schedules the next attempt after the target refused one because all
// of its links are in use. The delay does not grow: a link becomes free as soon
// as the target releases one of its temporary links.
func (s *dialSchedule) onPeerFull(t Target) {
	if d, ok := s.byAddress[t.Address]; ok {
		d.busy = false
		d.due = time.Now().Add(peerFullRetry/2 + rand.N(peerFullRetry/2))
	}
}

// onSuccess resets the backoff. If the link ends soon, the next attempt still
// waits for the first delay.
func (s *dialSchedule) onSuccess(t Target) {
	if d, ok := s.byAddress[t.Address]; ok {
		d.busy = false
		d.backoff.retries = 0
		d.due = time.Now().Add(d.backoff.next())
	}
}

// wait returns the time until the next attempt is due, at most idleWait.
func (s *dialSchedule) wait(now time.Time, isLinked func(Target) bool) time.Duration {
	wait := idleWait
	for _, d := range s.byAddress {
		if !d.busy && !isLinked(d.target) {
			wait = min(wait, d.due.Sub(now))
		}
	}
	return max(wait, 0)
}

// start calls offer for each target whose next attempt is due. If offer returns
// false, it is called again after RetryBase.
func (s *dialSchedule) start(now time.Time, isLinked, offer func(Target) bool) {
	for _, d := range s.byAddress {
		if d.busy || d.due.After(now) || isLinked(d.target) {
			continue
		}
		d.busy = offer(d.target)
		d.due = now.Add(s.config.RetryBase)
	}
}

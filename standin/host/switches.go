package host

import (
	"encoding/json"
	"net/http"
	"time"
)

// switches applies the fault switches of a host.
type switches struct {
	host     *Host
	faults   Faults
	throttle *Bucket
	held     []func()
}

func newSwitches(h *Host) *switches {
	return &switches{host: h, throttle: NewBucket(0, h.Now())}
}

// set replaces the switches. Answers held so far are sent when Freeze is unset.
func (s *switches) set(faults Faults) {
	s.faults = faults
	s.throttle = NewBucket(faults.ThrottlePerSecond, s.host.Now())
	if faults.Freeze {
		return
	}
	held := s.held
	s.held = nil
	for _, step := range held {
		step()
	}
}

// hold keeps a step of an answer until Freeze is unset. It returns false when
// nothing is frozen.
func (s *switches) hold(step func()) bool {
	if s.faults.Freeze {
		s.held = append(s.held, step)
	}
	return s.faults.Freeze
}

// receive lets a call in, now or after the time of a slow stand-in.
func (s *switches) receive(c *Call) {
	if s.faults.SlowMillis == 0 {
		s.admit(c)
		return
	}
	wait := time.Duration(s.faults.SlowMillis) * time.Millisecond
	s.host.After(wait, func() { s.admit(c) })
}

// admit applies the switches that keep a call from being served.
func (s *switches) admit(c *Call) {
	switch {
	case s.faults.Down:
		s.outage(c)
	case s.faults.LoseRequests > 0:
		s.faults.LoseRequests--
		c.Abort()
	case !s.throttle.Take(1, s.host.Now()):
		s.host.behavior.Refuse(c, Throttled)
	default:
		if s.faults.LoseAnswers > 0 {
			s.faults.LoseAnswers--
			c.loseAnswer = true
		}
		s.host.behavior.Serve(c)
	}
}

func (s *switches) outage(c *Call) {
	switch s.faults.Mode {
	case ModeCut:
		c.Abort()
	case ModeError:
		s.host.behavior.Refuse(c, Failing)
	default:
		s.host.behavior.Refuse(c, Down)
	}
}

// serve shows the switches, or sets them first.
func (s *switches) serve(c *Call) {
	if c.Method == http.MethodPost {
		var faults Faults
		if err := json.Unmarshal(c.Body, &faults); err != nil || !faults.isValid() {
			c.Fail(http.StatusBadRequest, FailureInvalid, "not a valid set of faults")
			return
		}
		s.set(faults)
	}
	c.ReplyJSON(http.StatusOK, s.faults)
}

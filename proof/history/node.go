package history

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Node is a simulated process with a monotonic clock of its own.
type Node struct {
	// Name names the process over all its incarnations.
	Name string
	// Incarnation counts the starts of the process from 1.
	Incarnation uint64

	world   *World
	ppm     int64         // by which its clock is fast
	offset  time.Duration // of its clock
	resumes clock.Instant // end of the present pause
	rejoins clock.Instant // end of the present separation from the table
	start   func()        // called at each start
	isCalm  bool          // no more trouble begins

	timeline uint64 // of the table, as last read by this incarnation
}

const million = 1_000_000

// NewNode starts a process. Its start function is called now and after each
// crash; it must make all state anew.
func NewNode(w *World, name string, trouble Trouble, start func(*Node)) *Node {
	n := &Node{
		Name:   name,
		world:  w,
		ppm:    w.Random.Int64N(2*trouble.SkewPPM+1) - trouble.SkewPPM,
		offset: w.Between(0, time.Hour),
	}
	n.start = func() { start(n) }
	n.begin()
	if trouble.Every > 0 {
		n.scheduleTrouble(trouble)
	}
	return n
}

// Now reads the clock of the node.
func (n *Node) Now() clock.Instant {
	passed := int64(n.world.Now())
	return clock.Instant(passed + passed/million*n.ppm).Add(n.offset)
}

// After calls f when d has passed on the clock of the node.
func (n *Node) After(d time.Duration, f func()) {
	passed := d*million/time.Duration(million+n.ppm) + time.Nanosecond // rounded up
	n.world.After(passed, n.Wrap(f))
}

// Wrap returns a function that calls f as the present incarnation: not at all
// after a crash, and after the end of a pause.
func (n *Node) Wrap(f func()) func() {
	return n.guard()(f)
}

// guard is Wrap for a function that is not known yet.
func (n *Node) guard() func(func()) func() {
	incarnation := n.Incarnation
	return func(f func()) func() {
		var call func()
		call = func() {
			switch {
			case n.Incarnation != incarnation:
			case n.isPaused():
				n.world.After(n.resumes.Sub(n.world.Now()), call)
			default:
				f()
			}
		}
		return call
	}
}

// IsDown reports whether the node is paused or waits for its restart.
func (n *Node) IsDown() bool {
	return n.isPaused()
}

// Pause stops the node for a time. Its clock goes on.
func (n *Node) Pause(d time.Duration) {
	n.resumes = max(n.resumes, n.world.Now().Add(d))
}

// Crash ends the present incarnation and starts the next after a time.
func (n *Node) Crash(d time.Duration) {
	n.Incarnation++
	n.timeline = 0
	n.Pause(d)
	n.world.After(d, n.Wrap(n.start))
}

// Separate cuts the node off from the table for a time.
func (n *Node) Separate(d time.Duration) {
	n.rejoins = max(n.rejoins, n.world.Now().Add(d))
}

// IsSeparate reports whether the node is cut off from the table.
func (n *Node) IsSeparate() bool {
	return n.rejoins.After(n.world.Now())
}

// Calm lets no more trouble begin.
func (n *Node) Calm() {
	n.isCalm = true
}

func (n *Node) begin() {
	n.Incarnation = 1
	n.world.After(0, n.Wrap(n.start))
}

func (n *Node) isPaused() bool {
	return n.resumes.After(n.world.Now())
}

func (n *Node) scheduleTrouble(t Trouble) {
	n.world.After(n.world.Between(0, 2*t.Every), func() {
		if n.isCalm {
			return
		}
		d := n.world.Between(0, t.Longest)
		switch n.world.Random.IntN(3) {
		case 0:
			n.Pause(d)
		case 1:
			n.Crash(d)
		default:
			n.Separate(d)
		}
		n.scheduleTrouble(t)
	})
}

package relay

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

const (
	// inboxSlots is the capacity of a relay's ring.
	inboxSlots = 1024
	// connectTimeout bounds the making of a connection to the target.
	connectTimeout = 5 * time.Second
)

// Relay passes on what it gets to one target.
type Relay struct {
	target  string
	sockets *sockets
	inbox   *ring.Ring[message]
	isCut   atomic.Bool
	threads []*thread.Thread
	// pipes and state belong to the duty.
	pipes []*pipe
	state State
}

// Start starts a relay on a free port.
func Start(target string) (*Relay, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	s, err := listen()
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, sockets: s, inbox: ring.New[message]("relay", inboxSlots)}
	packets := &datagrams{relay: r, target: to, sources: make(map[string]*source)}
	r.threads = []*thread.Thread{
		thread.Start("relay", r.run),
		thread.Start("accept", r.accept),
		thread.Start("datagrams", packets.run),
	}
	return r, nil
}

// Address returns the address of the relay.
func (r *Relay) Address() string {
	return r.sockets.tcp.Addr().String()
}

// Cut holds all traffic up.
func (r *Relay) Cut() error {
	return r.Set(State{HoldsForth: true, HoldsBack: true})
}

// Heal passes traffic on again, with what was held up on connections.
func (r *Relay) Heal() error {
	return r.Set(State{})
}

// Set makes the relay treat all connections, those to come as well, in one way.
// Datagrams are dropped while both directions are held.
func (r *Relay) Set(state State) error {
	r.isCut.Store(state.HoldsForth && state.HoldsBack)
	return r.inbox.Offer(message{state: &state})
}

// Reset ends all present connections abruptly.
func (r *Relay) Reset() error {
	return r.inbox.Offer(message{isReset: true})
}

// Close ends the relay and its connections.
func (r *Relay) Close() error {
	r.inbox.Close()
	r.sockets.close()
	var first error
	for _, t := range r.threads {
		if err := t.Join(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// run is the duty that owns the connections.
func (r *Relay) run() error {
	for {
		m, err := r.inbox.Take()
		if err != nil {
			return r.end()
		}
		switch {
		case m.accepted != nil:
			r.connect(m.accepted)
		case m.state != nil:
			r.state = *m.state
			r.apply(r.pipes)
		case m.isReset:
			r.reset()
		}
	}
}

func (r *Relay) accept() error {
	for {
		conn, err := r.sockets.tcp.AcceptTCP()
		if err != nil {
			return nil
		}
		if r.inbox.Offer(message{accepted: conn}) != nil {
			_ = conn.Close()
		}
	}
}

// connect joins an accepted connection to the target by two pipes.
func (r *Relay) connect(from *net.TCPConn) {
	to, err := net.DialTimeout("tcp", r.target, connectTimeout)
	if err != nil {
		// The other side sees its connection end, as it would without a relay.
		_ = from.Close()
		return
	}
	forth, back := newPipes(from, to.(*net.TCPConn))
	r.pipes = append(r.pipes, forth, back)
	r.apply([]*pipe{forth, back})
	forth.start()
	back.start()
}

// apply brings pairs of pipes, forth and back, into the present state.
func (r *Relay) apply(pipes []*pipe) {
	for i, p := range pipes {
		p.delay.Store(int64(r.state.Delay))
		fault := r.state.Fault
		p.fault.Store(&fault)
		if (i%2 == 0 && r.state.HoldsForth) || (i%2 == 1 && r.state.HoldsBack) {
			p.hold()
		} else {
			p.release()
		}
	}
}

func (r *Relay) reset() {
	for _, p := range r.pipes {
		p.reset()
	}
}

func (r *Relay) end() error {
	for _, p := range r.pipes {
		p.close()
	}
	var first error
	for _, p := range r.pipes {
		if err := p.thread.Join(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

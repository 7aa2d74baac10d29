package relay

import (
	"bytes"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

const (
	// pipeBytes is the size of a pipe's buffer.
	pipeBytes = 32 << 10
	// releaseSlots is the capacity of the ring that ends a hold.
	releaseSlots = 4
)

// pipe copies one direction of a connection. While it is held it reads nothing.
type pipe struct {
	from     *net.TCPConn
	to       *net.TCPConn
	released *ring.Ring[bool]
	// delay is how long what was read waits, in nanoseconds.
	delay atomic.Int64
	// fault is State.Fault; nil is none.
	fault atomic.Pointer[Fault]
	// isForth is true for the pipe to the target.
	isForth bool
	// refusals is shared by the two pipes of a connection.
	refusals *refusals
	// late is for waiting; nothing is offered.
	late   *ring.Ring[bool]
	thread *thread.Thread
}

// newPipes makes the pipes to the target and back.
func newPipes(from, to *net.TCPConn) (forth, back *pipe) {
	shared := newRefusals()
	forth, back = newPipe(from, to, shared), newPipe(to, from, shared)
	forth.isForth = true
	return forth, back
}

func newPipe(from, to *net.TCPConn, shared *refusals) *pipe {
	return &pipe{
		from: from, to: to, refusals: shared,
		released: ring.New[bool]("released", releaseSlots), late: ring.New[bool]("late", 1),
	}
}

func (p *pipe) start() {
	p.thread = thread.Start("pipe", p.run)
}

// hold makes the present and the next read fail, so that the duty parks.
func (p *pipe) hold() {
	// A connection that has ended needs no hold.
	_ = p.from.SetReadDeadline(time.Unix(1, 0))
}

func (p *pipe) release() {
	_ = p.from.SetReadDeadline(time.Time{})
	// A full ring holds a release already.
	_ = p.released.Offer(true)
}

// reset ends the connection as a lost peer does.
func (p *pipe) reset() {
	// A connection that has ended needs no reset.
	_ = p.from.SetLinger(0)
	p.close()
}

func (p *pipe) close() {
	p.released.Close()
	_ = p.from.Close()
	_ = p.to.Close()
}

// run is the duty. It returns when either connection has ended.
func (p *pipe) run() error {
	defer p.shut()
	buffer := make([]byte, pipeBytes)
	for {
		n, err := p.from.Read(buffer)
		if n > 0 {
			if delay := time.Duration(p.delay.Load()); delay > 0 {
				p.pause(delay)
			}
			if !p.pass(buffer[:n]) {
				return nil
			}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if _, err := p.released.Take(); err != nil {
				return nil
			}
			continue
		}
		if err != nil {
			return nil
		}
	}
}

// shut passes the end of the stream on.
func (p *pipe) shut() {
	if err := p.to.CloseWrite(); err != nil {
		_ = p.to.Close()
	}
}

// pass passes a piece on, with the fault that there is. It returns false if the
// connection has ended.
func (p *pipe) pass(piece []byte) bool {
	fault := p.fault.Load()
	switch {
	case fault == nil || fault.Kind == NoFault:
		return p.write(piece)
	case p.isForth:
		return p.passForth(piece, fault)
	}
	start := piece[:min(fault.Bytes, len(piece)-1)]
	switch fault.Kind {
	case LateCopy, CopyOnRetry:
		return p.passRefusal(piece, fault)
	case RepeatStart:
		return p.write(piece) && p.write(start)
	case Endless:
		head := max(bytes.Index(piece, []byte("\r\n\r\n")), 0)
		if p.write(start[:min(len(start), head)]) {
			p.writeEndless()
		}
	case SpoilHead:
		_ = p.write(spoilHead(piece, fault.Line))
	default:
		_ = p.write(start)
	}
	return false
}

// passForth passes a piece on to the target. For CopyOnRetry, the refusal of a request
// that is sent again goes back first, so that it comes before the response.
func (p *pipe) passForth(piece []byte, fault *Fault) bool {
	if fault.Kind == CopyOnRetry {
		if response := p.refusals.take(requestID(piece)); response != nil {
			// The request reaches the target also if nobody reads the copy.
			_, _ = p.from.Write(response)
		}
	}
	return p.write(piece)
}

// passRefusal passes a piece on from the target. If it is a refusal, its copy follows
// after the delay, or is kept for the retry.
func (p *pipe) passRefusal(piece []byte, fault *Fault) bool {
	refused, ok := parseRefusal(piece)
	switch {
	case !ok:
		return p.write(piece)
	case fault.Kind == CopyOnRetry:
		// The retry may follow at once.
		p.refusals.add(refused)
		return p.write(piece)
	case !p.write(piece):
		return false
	}
	p.pause(fault.Delay)
	return p.write(piece)
}

// pause parks the duty.
func (p *pipe) pause(d time.Duration) { _, _, _ = p.late.TakeUntil(d) }

// writeEndless writes bytes until the other end closes the connection.
func (p *pipe) writeEndless() {
	junk := bytes.Repeat([]byte("x"), pipeBytes)
	for p.write(junk) {
	}
}

func (p *pipe) write(data []byte) bool {
	_, err := p.to.Write(data)
	return err == nil
}

package httpc

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// discardSink ignores the response.
type discardSink struct{}

func (discardSink) Head(int, http.Header) {}
func (discardSink) Body([]byte) error     { return nil }
func (discardSink) Done()                 {}
func (discardSink) Failed(error)          {}

// TestDialerTimeout checks that a dial which times out in the dialer itself fails
// with a *TimeoutError. The client's thread enforces the same timeout and would
// usually notice first, so it does not run here.
func TestDialerTimeout(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := "127.0.0.1:" + strconv.Itoa(name.(*unix.SockaddrInet4).Port)
	// Fill the accept queue, so that the next connection is never established.
	for range 4 {
		if conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			defer func() { _ = conn.Close() }()
		}
	}
	c := New(Config{})
	d := newDialer("dialer", c)
	d.dial(&pendingDial{call: &Call{Address: address, Sink: discardSink{}}, deadline: time.Now().Add(50 * time.Millisecond)})
	e, err := c.inbox.Take()
	if err != nil {
		t.Fatal(err)
	}
	var late *TimeoutError
	if !errors.As(e.dialed.err, &late) {
		t.Fatalf("got error %v, want a *TimeoutError", e.dialed.err)
	}
}

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

// silent is a sink that hears nothing here.
type silent struct{}

func (silent) Head(int, http.Header) {}
func (silent) Body([]byte)           {}
func (silent) Done()                 {}
func (silent) Failed(error)          {}

// TestDialerTimeout lets the dialer's own limit pass while the duty, which keeps
// the same limit, does not run.
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
	for range 4 {
		if conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			defer func() { _ = conn.Close() }()
		}
	}
	c := New(Config{})
	d := newDialer("dialer", c)
	d.dial(&dialing{call: &Call{Address: address, Sink: silent{}}, until: time.Now().Add(50 * time.Millisecond)})
	e, err := c.inbox.Take()
	if err != nil {
		t.Fatal(err)
	}
	var late *TimeoutError
	if !errors.As(e.connected.err, &late) {
		t.Fatalf("not a timeout: %v", e.connected.err)
	}
}

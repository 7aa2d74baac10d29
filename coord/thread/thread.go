package thread

import (
	"runtime"
	"runtime/debug"
	"unsafe"

	"golang.org/x/sys/unix"
)

// maxNameBytes is the longest thread name that the kernel stores.
const maxNameBytes = 15

// Thread is a running duty.
type Thread struct {
	name string
	done chan struct{}
	err  error
}

// Start runs duty on an operating system thread of its own, which is named after
// the first 15 bytes of name.
func Start(name string, duty func() error) *Thread {
	t := &Thread{name: name, done: make(chan struct{})}
	go t.run(duty)
	return t
}

// Name returns the name of the duty.
func (t *Thread) Name() string {
	return t.name
}

// Join waits for the duty to end and returns its error, or a *PanicError if it
// panicked.
func (t *Thread) Join() error {
	<-t.done
	return t.err
}

// IsAlive reports whether the duty still runs.
func (t *Thread) IsAlive() bool {
	select {
	case <-t.done:
		return false
	default:
		return true
	}
}

func (t *Thread) run(duty func() error) {
	// The thread is never unlocked, so the runtime ends it together with the
	// goroutine and no other goroutine runs under its name.
	runtime.LockOSThread()
	defer close(t.done)
	defer func() {
		if v := recover(); v != nil {
			t.err = &PanicError{Duty: t.name, Value: v, Stack: debug.Stack()}
		}
	}()
	setName(t.name)
	t.err = duty()
}

func setName(name string) {
	if len(name) > maxNameBytes {
		name = name[:maxNameBytes]
	}
	raw := append([]byte(name), 0)
	// The duty does not depend on the name, so the error is ignored.
	_ = unix.Prctl(unix.PR_SET_NAME, uintptr(unsafe.Pointer(&raw[0])), 0, 0, 0)
	runtime.KeepAlive(raw)
}

package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to a server. All those that are open can be made
// silent for good: neither side hears of the other again, and none is reset. New
// connections work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs []*pair
}

type pair struct {
	near, far net.Conn
	silent    atomic.Bool
}

func newProxy(address, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &pair{near: near, far: far}
		p.mu.Lock()
		p.pairs = append(p.pairs, c)
		p.mu.Unlock()
		go c.copy(near, far)
		go c.copy(far, near)
	}
}

// copy passes bytes on until the connection ends or is silent.
func (c *pair) copy(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			// What comes from now on is dropped, the end of a side included.
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// silence makes the open connections silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pairs {
		c.silent.Store(true)
	}
	n := len(p.pairs)
	p.pairs = nil
	return n
}

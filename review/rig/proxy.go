package main

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// proxy passes connections on to a server. All those that are open can be made
// silent for good: neither side hears of the other again, and none is reset. New
// connections work, unless the proxy is cut.
type proxy struct {
	listener net.Listener
	target   string
	// calls counts the HTTP requests to the server.
	calls atomic.Int64

	mu    sync.Mutex
	isCut bool
	pairs []*pair
}

type pair struct {
	proxy     *proxy
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
		c := &pair{proxy: p, near: near, far: far}
		p.mu.Lock()
		c.silent.Store(p.isCut)
		p.pairs = append(p.pairs, c)
		p.mu.Unlock()
		go c.copy(near, far, true)
		go c.copy(far, near, false)
	}
}

// copy passes bytes on until the connection ends or is silent.
func (c *pair) copy(from, to net.Conn, isCalls bool) {
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
		if isCalls {
			c.proxy.calls.Add(int64(bytes.Count(buffer[:n], []byte(" HTTP/1.1\r\n"))))
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
	return len(p.pairs)
}

// cut makes the open connections and all new ones silent.
func (p *proxy) cut() {
	p.mu.Lock()
	p.isCut = true
	p.mu.Unlock()
	p.silence()
}

// heal ends the silent connections; new ones work again.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
	for _, c := range p.pairs {
		if c.silent.Load() {
			_ = c.near.Close()
			_ = c.far.Close()
		}
	}
	p.pairs = nil
}

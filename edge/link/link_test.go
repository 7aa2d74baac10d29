package link_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/keys"
	"github.com/sycamorecourse/sycamorecourse/edge/link"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

// handlerEvent is one call of a Handler method.
type handlerEvent struct {
	what    string
	peer    wire.Hello
	message wire.Message
	err     error
}

// recorder is a Handler that offers its calls to a ring.
type recorder struct{ inbox *ring.Ring[handlerEvent] }

func (r recorder) Up(p wire.Hello) { _ = r.inbox.Offer(handlerEvent{what: "up", peer: p}) }
func (r recorder) Receive(p wire.Hello, m wire.Message) {
	_ = r.inbox.Offer(handlerEvent{what: "message", peer: p, message: m})
}
func (r recorder) Down(p wire.Hello, err error) {
	_ = r.inbox.Offer(handlerEvent{what: "down", peer: p, err: err})
}

// process is a process with Links and a recorder as their Handler.
type process struct {
	links *link.Links
	group *thread.Group
	recorder
}

func (p *process) stop() {
	p.links.Close()
	Expect(p.group.Join()).To(Succeed())
}

func (p *process) next(what string) handlerEvent {
	h, ok, err := p.inbox.TakeUntil(10 * time.Second)
	Expect(err).NotTo(HaveOccurred())
	Expect(ok).To(BeTrue(), "no "+what)
	Expect(h.what).To(Equal(what), "%+v", h)
	return h
}

func start(directory, instance string, change func(*link.Config)) *process {
	name := keys.Name{Role: "gateway", Instance: instance}
	tlsConfig, err := keys.Load(keys.FilesIn(directory, name), link.Protocol)
	Expect(err).NotTo(HaveOccurred())
	p := &process{recorder: recorder{inbox: ring.New[handlerEvent]("test", 4096)}}
	config := link.Config{
		Self:        wire.Hello{Role: name.Role, Instance: name.Instance, Incarnation: uint64(time.Now().UnixNano())},
		Listen:      "127.0.0.1:0",
		TLS:         tlsConfig,
		Handler:     p.recorder,
		Log:         zerolog.Nop(),
		MaxLinks:    4,
		IdleTimeout: 2 * time.Second,
	}
	if change != nil {
		change(&config)
	}
	p.links = link.New(config)
	p.group = thread.NewGroup(p.links.ThreadCount())
	Expect(p.links.Open(p.group)).To(Succeed())
	return p
}

func issueKeys(instances ...string) string {
	directory, err := os.MkdirTemp("", "keys")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, directory)
	var names []keys.Name
	for _, i := range instances {
		names = append(names, keys.Name{Role: "gateway", Instance: i})
	}
	Expect(keys.WriteAll(directory, names, time.Hour)).To(Succeed())
	return directory
}

func targets(list ...*process) []link.Target {
	var out []link.Target
	for _, p := range list {
		self := p.links.Self()
		out = append(out, link.Target{ID: self.ID(), Address: p.links.Address()})
	}
	return out
}

var _ = Describe("Links", func() {
	It("carries messages both ways and keeps one connection when both dial", func() {
		directory := issueKeys("a", "b")
		a, b := start(directory, "a", nil), start(directory, "b", nil)
		defer a.stop()
		defer b.stop()
		Expect(a.links.SetTargets(targets(b))).To(Succeed())
		Expect(b.links.SetTargets(targets(a))).To(Succeed())
		Expect(a.next("up").peer.Instance).To(Equal("b"))
		Expect(b.next("up").peer.Instance).To(Equal("a"))
		// A connection may be replaced by the one dialed in the other direction.
		Eventually(func() string {
			_ = a.links.Send("gateway/b", &wire.Payload{Name: "there"})
			return lastPayload(b, "message")
		}, 5*time.Second, 50*time.Millisecond).Should(Equal("there"))
		Eventually(func() string {
			_ = b.links.Send("gateway/a", &wire.Payload{Name: "back"})
			return lastPayload(a, "message")
		}, 5*time.Second, 50*time.Millisecond).Should(Equal("back"))
	})

	It("refuses a peer of another authority, a peer with another name in its hello and a missing certificate", func() {
		directory, otherAuthority := issueKeys("a", "b"), issueKeys("a", "x")
		a := start(directory, "a", nil)
		defer a.stop()
		x := start(otherAuthority, "x", nil)
		defer x.stop()
		liar := start(directory, "b", func(c *link.Config) { c.Self.Instance = "c" })
		defer liar.stop()
		Expect(x.links.SetTargets(targets(a))).To(Succeed())
		Expect(liar.links.SetTargets(targets(a))).To(Succeed())
		Consistently(func() uint64 { return a.inbox.Stats().Offered }, time.Second).Should(BeZero())
		Expect(x.inbox.Stats().Offered).To(BeZero())
		Expect(keys.WriteAll(directory, nil, time.Hour)).To(BeAssignableToTypeOf(&keys.WriteError{}))
		_, err := keys.Load(keys.Files{Certificate: filepath.Join(directory, "none")}, "")
		Expect(err).To(BeAssignableToTypeOf(&keys.LoadError{}))
	})

	It("reconnects to a peer that restarts or is dropped, and reports why each link ended", func() {
		directory := issueKeys("a", "b")
		a, b := start(directory, "a", nil), start(directory, "b", nil)
		defer a.stop()
		address := b.links.Address()
		Expect(a.links.SetTargets(targets(b))).To(Succeed())
		a.next("up")
		b.stop()
		Expect(a.next("down").err).To(Equal(&link.ShutdownError{Remote: true}))
		b = start(directory, "b", func(c *link.Config) { c.Listen = address })
		defer b.stop()
		Expect(a.next("up").peer.Incarnation).To(Equal(b.links.Self().Incarnation))
		Expect(a.links.Drop("gateway/b")).To(Succeed())
		Expect(a.next("down").err).To(BeAssignableToTypeOf(&link.UnresponsiveError{}))
		a.next("up")
	})

	It("gives a process a temporary link when all other links are in use", func() {
		directory := issueKeys("a", "b", "c", "d", "e", "f", "g")
		a := start(directory, "a", func(c *link.Config) { c.MaxLinks = 6 })
		defer a.stop()
		for _, name := range []string{"b", "c", "d", "e", "f", "g"} {
			p := start(directory, name, nil)
			defer p.stop()
			Expect(p.links.SetTargets(targets(a))).To(Succeed())
			p.next("up")
			if name == "g" {
				Expect(p.next("down").err).To(Equal(&link.ReleasedError{Remote: true}))
			}
		}
	})

	It("refuses to listen on the unspecified address without a link address", func() {
		name := keys.Name{Role: "gateway", Instance: "a"}
		tlsConfig, err := keys.Load(keys.FilesIn(issueKeys("a"), name), link.Protocol)
		Expect(err).NotTo(HaveOccurred())
		l := link.New(link.Config{Listen: "0.0.0.0:0", TLS: tlsConfig, Log: zerolog.Nop()})
		Expect(l.Open(thread.NewGroup(l.ThreadCount()))).To(BeAssignableToTypeOf(&link.AdvertiseError{}))
	})

	It("bounds the number of links and the messages that wait for a peer", func() {
		directory := issueKeys("a", "b", "c")
		a := start(directory, "a", func(c *link.Config) { c.MaxLinks = 1; c.OutboundCapacity = 2 })
		defer a.stop()
		b, c := start(directory, "b", nil), start(directory, "c", nil)
		defer b.stop()
		defer c.stop()
		Expect(b.links.SetTargets(targets(a))).To(Succeed())
		a.next("up")
		Expect(c.links.SetTargets(targets(a))).To(Succeed())
		Consistently(func() uint64 { return a.inbox.Stats().Offered }, time.Second).Should(Equal(uint64(1)))
		Expect(a.links.Send("gateway/c", &wire.Payload{})).To(BeAssignableToTypeOf(&link.NoLinkError{}))
		big := &wire.Payload{Bytes: make([]byte, 1<<20)}
		// Send without pauses: with them the link may drain the ring as fast.
		var err error
		for range 10_000 {
			if err = a.links.Send("gateway/b", big); err != nil {
				break
			}
		}
		Expect(err).To(BeAssignableToTypeOf(&ring.FullError{}))
	})
})

// lastPayload drains the recorder and returns the name of the last payload.
func lastPayload(p *process, what string) string {
	name := ""
	for {
		h, ok, _ := p.inbox.TakeUntil(0)
		if !ok {
			return name
		}
		if m, isPayload := h.message.(*wire.Payload); isPayload && h.what == what {
			name = m.Name
		}
	}
}

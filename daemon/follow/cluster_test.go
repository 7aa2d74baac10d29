package follow_test

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/follow"
	"github.com/sycamorecourse/sycamorecourse/edge/keys"
	"github.com/sycamorecourse/sycamorecourse/edge/link"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// datagramOverhead is the length of the IP and UDP headers of a datagram.
const datagramOverhead = 28

// socket counts the bytes sent and drops datagrams to addresses for which
// isCut returns true.
type socket struct {
	*net.UDPConn
	bytes atomic.Uint64
	isCut atomic.Pointer[func(netip.AddrPort) bool]
}

func (s *socket) WriteMsgUDP(b, oob []byte, to *net.UDPAddr) (int, int, error) {
	address := netip.AddrPortFrom(to.AddrPort().Addr().Unmap(), uint16(to.Port))
	if isCut := s.isCut.Load(); isCut != nil && (*isCut)(address) {
		return len(b), len(oob), nil
	}
	s.bytes.Add(uint64(len(b) + datagramOverhead))
	return s.UDPConn.WriteMsgUDP(b, oob, to)
}

// daemon is one process of a cluster, reduced to its links and its follow
// duty.
type daemon struct {
	name     keys.Name
	links    *link.Links
	follow   *follow.Follow
	group    *thread.Group
	socket   *socket
	registry *prometheus.Registry
	// refusesUpdates makes deliver fail, as if the ring of the owner were
	// full.
	refusesUpdates atomic.Bool
	version        atomic.Uint64
	updates        atomic.Uint64
	instances      atomic.Int64
	members        atomic.Pointer[[]spread.Member]
}

// deliver takes the place of the ring of the owner.
func (d *daemon) deliver(u follow.Update) error {
	if d.refusesUpdates.Load() {
		return &ring.FullError{Ring: "owner"}
	}
	d.updates.Add(1)
	d.instances.Add(int64(len(u.Upserts)))
	if u.Members != nil {
		d.members.Store(&u.Members)
	}
	if u.Configuration != nil {
		d.version.Store(u.Configuration.Version)
	}
	return nil
}

func (d *daemon) close() {
	d.follow.Close()
	d.links.Close()
	if err := d.group.Join(); err != nil {
		panic(err)
	}
}

// metric returns the value of a counter or gauge without labels, 0 if it is
// not registered.
func (d *daemon) metric(name string) float64 {
	families, err := d.registry.Gather()
	if err != nil {
		panic(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetCounter().GetValue() + f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return 0
}

// cluster is a number of daemons in this process, linked over the loopback
// interface.
type cluster struct {
	directory string
	maxLinks  int
	spread    spread.Config
	daemons   []*daemon
}

func newCluster(count, maxLinks int, config spread.Config) *cluster {
	directory, err := os.MkdirTemp("", "cluster")
	if err != nil {
		panic(err)
	}
	c := &cluster{directory: directory, maxLinks: maxLinks, spread: config}
	var names []keys.Name
	for i := range count {
		names = append(names, nameOf(i))
	}
	if err := keys.WriteAll(directory, names, time.Hour); err != nil {
		panic(err)
	}
	for i := range count {
		d := c.start(i, directory, "127.0.0.1:0")
		c.daemons = append(c.daemons, d)
		const seeds = 2
		if len(c.spread.Seeds) < seeds {
			c.spread.Seeds = append(c.spread.Seeds, d.links.Address())
		}
	}
	return c
}

func nameOf(i int) keys.Name {
	return keys.Name{Role: []string{"gateway", "controller"}[i%2], Instance: fmt.Sprint("entry-", i/2)}
}

func (c *cluster) start(i int, directory, listen string) *daemon {
	d := &daemon{name: nameOf(i), registry: prometheus.NewRegistry()}
	tlsConfig, err := keys.Load(keys.FilesIn(directory, d.name), link.Protocol)
	if err != nil {
		panic(err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(listen)))
	if err != nil {
		panic(err)
	}
	d.socket = &socket{UDPConn: conn}
	d.follow = follow.New(follow.Config{Spread: c.spread, Deliver: d.deliver, Log: zerolog.Nop(), Registry: d.registry})
	self := wire.Hello{
		Role: d.name.Role, Instance: d.name.Instance, Incarnation: uint64(time.Now().UnixMilli()),
		FailureDomain: fmt.Sprint("domain-", i/2%10), Region: fmt.Sprint("region-", i/2%3),
	}
	if d.name.Role == "gateway" {
		self.PublicAddress = fmt.Sprintf("192.0.2.1:%d", i+1)
	}
	d.links = link.New(link.Config{Self: self, Conn: d.socket, TLS: tlsConfig, Handler: d.follow,
		Log: zerolog.Nop(), Registry: d.registry, MaxLinks: c.maxLinks})
	d.group = thread.NewGroup(d.links.ThreadCount() + 1)
	if err := d.links.Open(d.group); err != nil {
		panic(err)
	}
	d.follow.Open(d.group, d.links)
	return d
}

func (c *cluster) close() {
	for _, d := range c.daemons {
		d.close()
	}
	_ = os.RemoveAll(c.directory)
}

// sum adds up a metric over all daemons.
func (c *cluster) sum(name string) (total float64) {
	for _, d := range c.daemons {
		total += d.metric(name)
	}
	return total
}

// bytes returns the bytes sent by all daemons, including the IP and UDP
// headers.
func (c *cluster) bytes() (total uint64) {
	for _, d := range c.daemons {
		total += d.socket.bytes.Load()
	}
	return total
}

// count returns the number of members that the daemon knows to be in a state.
func (d *daemon) count(state spread.MemberState) int {
	n := 0
	if members := d.members.Load(); members != nil {
		for _, m := range *members {
			if m.State == state {
				n++
			}
		}
	}
	return n
}

// await polls until all daemons have satisfied a condition and returns how
// long that took.
func (c *cluster) await(limit time.Duration, isDone func(*daemon) bool) (time.Duration, bool) {
	const poll = time.Millisecond
	start := time.Now()
	tick := ring.New[bool]("tick", 1)
	for i := 0; i < len(c.daemons); {
		if isDone(c.daemons[i]) {
			i++
			continue
		}
		if time.Since(start) > limit {
			return limit, false
		}
		_, _, _ = tick.TakeUntil(poll)
	}
	return time.Since(start), true
}

// knowsAll is a condition for await: the daemon knows all daemons to be live.
func (c *cluster) knowsAll(d *daemon) bool {
	return d.count(spread.Live) == len(c.daemons)
}

package history

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/confirm"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// startFollower starts a process that first asks the table and some peers.
func (r *ConfirmRun) startFollower(n *Node) {
	delete(r.follows, n)
	b := confirm.NewBootstrap(peersAsked, n.Now().Add(2*time.Second))
	r.readNewest(n, func(c confirm.Configuration) { _ = b.OfferStored(c) })
	for range peersAsked {
		r.askPeer(n, func(c confirm.Configuration) { _ = b.OfferFromPeer(r.peer().Name, c) })
	}
	r.waitReady(n, b)
}

func (r *ConfirmRun) waitReady(n *Node, b *confirm.Bootstrap) {
	follower, ok := b.Ready(n.Now())
	if !ok {
		n.After(100*time.Millisecond, func() { r.waitReady(n, b) })
		return
	}
	r.follows[n] = &follower
	r.hold(follower.Current())
	r.follow(n)
}

// follow asks the table or a peer again and again.
func (r *ConfirmRun) follow(n *Node) {
	if r.world.Chance(300) {
		r.readNewest(n, func(c confirm.Configuration) { r.offer(n, c) })
	} else {
		r.askPeer(n, func(c confirm.Configuration) { r.offer(n, c) })
	}
	n.After(r.world.Between(0, mostGossipGap), func() { r.follow(n) })
}

func (r *ConfirmRun) offer(n *Node, c confirm.Configuration) {
	follower := r.follows[n]
	before := follower.Current().Version
	if r.switches.LastWins && c.Version != 0 {
		*follower = confirm.Follower{}
	}
	if _, err := follower.Offer(c); err != nil {
		return
	}
	if follower.Current().Version < before {
		r.reverts++
	}
	r.hold(follower.Current())
}

func (r *ConfirmRun) hold(c confirm.Configuration) {
	if c.Version != 0 {
		r.held = append(r.held, c)
	}
}

// readNewest reads the head and then its version.
func (r *ConfirmRun) readNewest(n *Node, done func(confirm.Configuration)) {
	r.table.Read(n, testChain.HeadKey(), func(found row.Row, err error) {
		head, decodeErr := confirm.DecodeHead(found)
		if err != nil || decodeErr != nil {
			return
		}
		if head.Version == 0 {
			done(confirm.Configuration{})
			return
		}
		r.table.Read(n, testChain.VersionKey(head.Version), func(found row.Row, err error) {
			if c, decodeErr := confirm.DecodeConfiguration(found); err == nil && decodeErr == nil {
				done(c)
			}
		})
	})
}

// askPeer asks another process what it holds; the answer may come late.
func (r *ConfirmRun) askPeer(n *Node, done func(confirm.Configuration)) {
	peer := r.peer()
	guard := n.guard()
	r.world.After(r.world.Between(0, mostLatency), func() {
		follower, ok := r.follows[peer]
		if !ok || peer.IsDown() {
			return
		}
		c := follower.Current()
		if r.switches.UnconfirmedSpreads && len(r.proposed) > 0 {
			c = r.proposed[len(r.proposed)-1]
		}
		r.world.After(r.world.Between(0, time.Second), guard(func() { done(c) }))
	})
}

func (r *ConfirmRun) peer() *Node {
	return r.nodes[r.world.Random.IntN(len(r.nodes))]
}

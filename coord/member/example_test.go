package member_test

import (
	"fmt"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/member"
)

// A gateway learns that another one is leaving. An older update that arrives later
// does not make it live again.
func Example() {
	var now clock.Manual
	now.Advance(time.Second)
	self := member.Peer{Instance: "gw-1", Incarnation: 3, FailureDomain: "seoul-a"}
	view := member.NewView(member.DefaultConfig(), self, now.Now())

	other := member.Peer{Instance: "gw-2", Incarnation: 8, FailureDomain: "seoul-b"}
	live := member.Update{Peer: other, Liveness: member.Live}
	view.HandleHeartbeat(member.Heartbeat{Self: live}, now.Now())
	fmt.Println(view.State("gw-2", 8), len(view.Neighbours(now.Now())))

	leaving := live
	leaving.Leaving = true
	fmt.Println("to forward:", len(view.Merge(leaving, now.Now())))
	view.Merge(live, now.Now())
	fmt.Println(view.State("gw-2", 8))
	// Output:
	// live 1
	// to forward: 1
	// leaving
}

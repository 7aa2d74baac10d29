package cloud

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// machines starts and ends instances and publishes the list of them after a
// lag.
type machines struct {
	config    Config
	host      *host.Host
	made      int
	byID      map[string]*machine
	byToken   map[string]*machine
	published map[string]fleet.Instance
}

func newMachines(config Config, h *host.Host) *machines {
	return &machines{
		config:    config,
		host:      h,
		byID:      make(map[string]*machine),
		byToken:   make(map[string]*machine),
		published: make(map[string]fleet.Instance),
	}
}

func (m *machines) start(request StartRequest) (*machine, error) {
	offer, ok := m.offer(request)
	if !ok {
		return nil, &UnknownOfferError{FailureDomain: request.FailureDomain, MachineClass: request.MachineClass}
	}
	m.made++
	next := &machine{
		request: request,
		started: m.host.Now(),
		instance: fleet.Instance{
			ID:            fmt.Sprintf("i-%06d", m.made),
			Member:        request.Member,
			Pool:          request.Pool,
			Region:        offer.Region,
			FailureDomain: offer.FailureDomain,
			MachineClass:  offer.MachineClass,
			Reclaimable:   offer.Reclaimable,
			State:         fleet.Starting,
			MicrosPerHour: offer.MicrosPerHour,
		},
	}
	upstream, err := m.config.Starter.Start(next.instance)
	if err != nil {
		return nil, err
	}
	next.upstream = upstream
	next.instance.Address = upstream.Address()
	m.byID[next.instance.ID] = next
	if request.ClientToken != "" {
		m.byToken[request.ClientToken] = next
	}
	return next, nil
}

// boot makes a starting instance live after the boot time.
func (m *machines) boot(next *machine) {
	m.host.After(m.config.BootTime, func() {
		if next.instance.State == fleet.Starting {
			m.live(next)
		}
	})
}

func (m *machines) live(next *machine) {
	next.instance.State = fleet.Live
	m.publish(next.instance)
}

// leave lets an instance end after a time.
func (m *machines) leave(leaving *machine, wait time.Duration) {
	ends := time.Now().Add(wait)
	if leaving.instance.State == fleet.Leaving && leaving.instance.Ends.Before(ends) {
		return
	}
	leaving.instance.State = fleet.Leaving
	leaving.instance.Ends = ends
	m.publish(leaving.instance)
	m.host.After(wait, func() { m.end(leaving) })
}

func (m *machines) end(last *machine) {
	if last.instance.State == fleet.Gone {
		return
	}
	last.instance.State = fleet.Gone
	last.ended = m.host.Now()
	last.upstream.Stop()
	m.publish(last.instance)
}

// publish shows the present state of an instance in the list after the lag.
func (m *machines) publish(instance fleet.Instance) {
	m.host.After(m.config.ListLag, func() {
		if instance.State == fleet.Gone {
			delete(m.published, instance.ID)
			return
		}
		m.published[instance.ID] = instance
	})
}

func (m *machines) list() InstanceList {
	list := InstanceList{Instances: make([]fleet.Instance, 0, len(m.published))}
	for _, instance := range m.published {
		list.Instances = append(list.Instances, instance)
	}
	slices.SortFunc(list.Instances, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// sorted returns the machines in the order of their ids.
func (m *machines) sorted() []*machine {
	list := make([]*machine, 0, len(m.byID))
	for _, next := range m.byID {
		list = append(list, next)
	}
	slices.SortFunc(list, func(a, b *machine) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return list
}

func (m *machines) offer(request StartRequest) (Offer, bool) {
	for _, o := range m.config.Offers {
		if o.FailureDomain == request.FailureDomain && o.MachineClass == request.MachineClass && o.Reclaimable == request.Reclaimable {
			return o, true
		}
	}
	return Offer{}, false
}

// bill adds up what the instances of each member have cost.
func (m *machines) bill() Bill {
	now := m.host.Now()
	byMember := make(map[string]*MemberBill)
	for _, next := range m.byID {
		end := now
		if next.instance.State == fleet.Gone {
			end = next.ended
		}
		member := byMember[next.instance.Member]
		if member == nil {
			member = &MemberBill{Member: next.instance.Member}
			byMember[member.Member] = member
		}
		ran := end.Sub(next.started)
		member.InstanceSeconds += ran.Seconds()
		member.Micros += int64(float64(next.instance.MicrosPerHour) * ran.Hours())
	}
	bill := Bill{Members: make([]*MemberBill, 0, len(byMember))}
	for _, member := range byMember {
		bill.Members = append(bill.Members, member)
	}
	slices.SortFunc(bill.Members, func(a, b *MemberBill) int { return cmp.Compare(a.Member, b.Member) })
	return bill
}

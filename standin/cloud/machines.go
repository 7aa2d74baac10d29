package cloud

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// machines starts and ends instances, and publishes each change of state to the
// instance list after the list lag.
type machines struct {
	config    Config
	host      *host.Host
	created   int
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

// start starts the upstream of a new instance. The instance is not listed until
// it is live.
func (m *machines) start(request StartRequest) (*machine, error) {
	offer, ok := m.findOffer(request)
	if !ok {
		return nil, &UnknownOfferError{FailureDomain: request.FailureDomain, MachineClass: request.MachineClass}
	}
	m.created++
	vm := &machine{
		request: request,
		started: m.host.Now(),
		instance: fleet.Instance{
			ID:            fmt.Sprintf("i-%06d", m.created),
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
	upstream, err := m.config.Starter.Start(vm.instance)
	if err != nil {
		return nil, err
	}
	vm.upstream = upstream
	vm.instance.Address = upstream.Address()
	m.byID[vm.instance.ID] = vm
	if request.ClientToken != "" {
		m.byToken[request.ClientToken] = vm
	}
	return vm, nil
}

// boot makes a starting instance live after the boot time.
func (m *machines) boot(vm *machine) {
	m.host.After(m.config.BootTime, func() {
		if vm.instance.State == fleet.Starting {
			m.markLive(vm)
		}
	})
}

func (m *machines) markLive(vm *machine) {
	vm.instance.State = fleet.Live
	m.publish(vm.instance)
}

// scheduleEnd marks an instance as leaving and ends it after the wait. An
// earlier deadline stays in force.
func (m *machines) scheduleEnd(vm *machine, wait time.Duration) {
	ends := time.Now().Add(wait)
	if vm.instance.State == fleet.Leaving && vm.instance.Ends.Before(ends) {
		return
	}
	vm.instance.State = fleet.Leaving
	vm.instance.Ends = ends
	m.publish(vm.instance)
	m.host.After(wait, func() { m.end(vm) })
}

// end stops the upstream of an instance, unless that was done before.
func (m *machines) end(vm *machine) {
	if vm.instance.State == fleet.Gone {
		return
	}
	vm.instance.State = fleet.Gone
	vm.ended = m.host.Now()
	vm.upstream.Stop()
	m.publish(vm.instance)
}

// publish updates the instance list after the list lag.
func (m *machines) publish(instance fleet.Instance) {
	m.host.After(m.config.ListLag, func() {
		if instance.State == fleet.Gone {
			delete(m.published, instance.ID)
			return
		}
		m.published[instance.ID] = instance
	})
}

// list returns the published instances.
func (m *machines) list() InstanceList {
	list := InstanceList{Instances: make([]fleet.Instance, 0, len(m.published))}
	for _, instance := range m.published {
		list.Instances = append(list.Instances, instance)
	}
	slices.SortFunc(list.Instances, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// sortedByID returns all machines, including ended ones, so that calls handle
// them in a repeatable order.
func (m *machines) sortedByID() []*machine {
	list := make([]*machine, 0, len(m.byID))
	for _, vm := range m.byID {
		list = append(list, vm)
	}
	slices.SortFunc(list, func(a, b *machine) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	return list
}

func (m *machines) findOffer(request StartRequest) (Offer, bool) {
	for _, o := range m.config.Offers {
		if o.FailureDomain == request.FailureDomain && o.MachineClass == request.MachineClass && o.Reclaimable == request.Reclaimable {
			return o, true
		}
	}
	return Offer{}, false
}

// bill returns the cost and the running time of the instances of each member.
func (m *machines) bill() Bill {
	now := m.host.Now()
	byMember := make(map[string]*MemberBill)
	for _, vm := range m.byID {
		end := now
		if vm.instance.State == fleet.Gone {
			end = vm.ended
		}
		member := byMember[vm.instance.Member]
		if member == nil {
			member = &MemberBill{Member: vm.instance.Member}
			byMember[member.Member] = member
		}
		ran := end.Sub(vm.started)
		member.InstanceSeconds += ran.Seconds()
		member.Micros += int64(float64(vm.instance.MicrosPerHour) * ran.Hours())
	}
	bill := Bill{Members: make([]*MemberBill, 0, len(byMember))}
	for _, member := range byMember {
		bill.Members = append(bill.Members, member)
	}
	slices.SortFunc(bill.Members, func(a, b *MemberBill) int { return cmp.Compare(a.Member, b.Member) })
	return bill
}

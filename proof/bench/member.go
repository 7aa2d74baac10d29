package bench

import (
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/admit"
)

// Member is the mix of one member at the sizes of today.
type Member struct {
	// Name names the member.
	Name string
	// Domains are its failure domains.
	Domains []string
	// Pools are its pools.
	Pools []Pool
	// Classes are its traffic.
	Classes []Class
	// Customers are its customers with their shares; Weights gives the part of
	// the traffic of each.
	Customers []admit.Customer
	Weights   []float64
	// OneWay is the time from a gateway to an upstream.
	OneWay time.Duration
}

func mixed(large, small int) []Machine {
	var machines []Machine
	for range large {
		machines = append(machines, largeMachine)
	}
	for range small {
		machines = append(machines, smallMachine)
	}
	return machines
}

// Noranbus has bulk rebuilds of routes beside prompts with tight deadlines.
func Noranbus() Member {
	return Member{
		Name:    "Noranbus",
		Domains: []string{"seoul-a", "seoul-b", "seoul-c"},
		Pools: []Pool{
			{Name: "route-llm", Model: "route", Machines: mixed(6, 3)},
			{Name: "rider-app", Machines: []Machine{serviceMachine, serviceMachine, serviceMachine}},
		},
		Classes: []Class{
			{Name: "driver", Pool: "route-llm", PerSecond: 30, SharedTokens: 512, Groups: 60, OwnTokens: 160, MaxTokens: 40, Target: 500 * time.Millisecond, Deadline: 3 * time.Second, Priority: 2},
			{Name: "notice", Pool: "route-llm", PerSecond: 6, SharedTokens: 256, Groups: 5, OwnTokens: 900, MaxTokens: 160, Target: 1100 * time.Millisecond, Deadline: 20 * time.Second, Priority: 1},
			{Name: "rebuild", Pool: "route-llm", PerSecond: 7, SharedTokens: 4096, Groups: 25, OwnTokens: 800, MaxTokens: 300, Target: 8 * time.Second, Deadline: 90 * time.Second},
			{Name: "boarding", Pool: "rider-app", PerSecond: 40, MaxTokens: 1, Target: 500 * time.Millisecond, Deadline: 2 * time.Second, Priority: 2, NonIdempotent: true},
		},
		Customers: []admit.Customer{{Name: "hanbit", Share: 4}, {Name: "saetbyul", Share: 3}, {Name: "dasom", Share: 1}, {Name: "narae", Share: 1}, {Name: "garam", Share: 1}},
		Weights:   []float64{4, 3, 1, 1, 1},
		OneWay:    500 * time.Microsecond,
	}
}

// Cooperative has prompts with long shared prefixes and looser deadlines.
func Cooperative() Member {
	return Member{
		Name:    "Cooperative",
		Domains: []string{"regina-hall", "saskatoon-hall", "brandon-hall"},
		Pools: []Pool{
			{Name: "drafting-pool", Model: "draft", Machines: mixed(6, 6)},
			{Name: "depot-app", Machines: []Machine{serviceMachine, serviceMachine, serviceMachine}},
		},
		Classes: []Class{
			{Name: "sorting", Pool: "drafting-pool", PerSecond: 20, SharedTokens: 640, Groups: 40, OwnTokens: 260, MaxTokens: 120, Target: 1500 * time.Millisecond, Deadline: 15 * time.Second, Priority: 2},
			{Name: "question", Pool: "drafting-pool", PerSecond: 17, SharedTokens: 2048, Groups: 30, OwnTokens: 400, MaxTokens: 80, Target: 1100 * time.Millisecond, Deadline: 10 * time.Second, Priority: 2},
			{Name: "summary", Pool: "drafting-pool", PerSecond: 11, SharedTokens: 1024, Groups: 50, OwnTokens: 1100, MaxTokens: 200, Target: 5 * time.Second, Deadline: 60 * time.Second},
			{Name: "pickup", Pool: "depot-app", PerSecond: 20, MaxTokens: 1, Target: time.Second, Deadline: 5 * time.Second, Priority: 2, NonIdempotent: true},
		},
		Customers: []admit.Customer{{Name: "sorters", Share: 5}, {Name: "shelters", Share: 3}, {Name: "guild-east", Share: 1}, {Name: "guild-west", Share: 1}, {Name: "donors", Share: 2}},
		Weights:   []float64{5, 3, 1, 1, 2},
		OneWay:    900 * time.Microsecond,
	}
}

// Scaled is a member with n times the replicas, the traffic and the prefixes.
func Scaled(m Member, n int) Member {
	pools := slices.Clone(m.Pools)
	for i := range pools {
		pools[i].Machines = slices.Repeat(pools[i].Machines, n)
	}
	classes := slices.Clone(m.Classes)
	for i := range classes {
		classes[i].PerSecond *= float64(n)
		classes[i].Groups *= n
	}
	m.Pools = pools
	m.Classes = classes
	return m
}

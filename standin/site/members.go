package site

import "github.com/sycamorecourse/sycamorecourse/standin/engine"

// The names of the members.
const (
	// MemberNoranbus is Noranbus Route Lab.
	MemberNoranbus = "noranbus"
	// MemberCooperative is the Prairie Remnant Quilters Cooperative.
	MemberCooperative = "cooperative"
)

// Noranbus returns Noranbus Route Lab at its size of today.
func Noranbus() Member {
	return Member{
		Name:           MemberNoranbus,
		Region:         "kr-seoul",
		FailureDomains: []string{"seoul-a", "seoul-b", "seoul-c"},
		Pools: []Pool{
			{
				Name:         "route-llm",
				Kind:         Engine,
				MachineClass: ClassLarge,
				Replicas:     9,
				Reclaimable:  6,
				Models:       []engine.Model{{Name: "route-llm", Version: "1"}},
				Adapters:     []string{"timetables", "pickups"},
			},
			{Name: "rider-app", Kind: PlainService, MachineClass: ClassGeneral, Replicas: 3, Reclaimable: 2},
		},
	}
}

// Cooperative returns the Prairie Remnant Quilters Cooperative at its size of
// today.
func Cooperative() Member {
	return Member{
		Name:           MemberCooperative,
		Region:         "prairie-west",
		FailureDomains: []string{"regina-hall", "saskatoon-hall", "brandon-hall"},
		Pools: []Pool{
			{
				Name:         "drafting-pool",
				Kind:         Engine,
				MachineClass: ClassSmall,
				Replicas:     12,
				Reclaimable:  9,
				Models:       []engine.Model{{Name: "drafting", Version: "1"}},
				Adapters:     []string{"inventory", "donors"},
			},
			{Name: "depot-app", Kind: PlainService, MachineClass: ClassGeneral, Replicas: 3, Reclaimable: 2},
		},
	}
}

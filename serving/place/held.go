package place

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// OptionOf returns the option that an instance takes.
func OptionOf(i fleet.Instance) Option {
	return Option{FailureDomain: i.FailureDomain, MachineClass: i.MachineClass, Reclaimable: i.Reclaimable}
}

// Held counts the starting and live instances of a pool by option.
func Held(instances []fleet.Instance, member, pool string) map[Option]int {
	var ofPool []fleet.Instance
	for _, i := range instances {
		if i.Member == member && i.Pool == pool {
			ofPool = append(ofPool, i)
		}
	}
	return HeldBy(ofPool)
}

// HeldBy counts those of the given instances that are starting or live, by
// option.
func HeldBy(instances []fleet.Instance) map[Option]int {
	held := map[Option]int{}
	for _, i := range instances {
		if i.State == fleet.Starting || i.State == fleet.Live {
			held[OptionOf(i)]++
		}
	}
	return held
}

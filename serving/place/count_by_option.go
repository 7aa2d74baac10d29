package place

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// OptionOf returns the option of an instance.
func OptionOf(i fleet.Instance) Option {
	return Option{FailureDomain: i.FailureDomain, MachineClass: i.MachineClass, Reclaimable: i.Reclaimable}
}

// CountPoolByOption counts the starting and live instances of a pool by option.
func CountPoolByOption(instances []fleet.Instance, member, pool string) map[Option]int {
	var ofPool []fleet.Instance
	for _, i := range instances {
		if i.Member == member && i.Pool == pool {
			ofPool = append(ofPool, i)
		}
	}
	return CountByOption(ofPool)
}

// CountByOption counts the starting and live instances by option.
func CountByOption(instances []fleet.Instance) map[Option]int {
	counts := map[Option]int{}
	for _, i := range instances {
		if i.State == fleet.Starting || i.State == fleet.Live {
			counts[OptionOf(i)]++
		}
	}
	return counts
}

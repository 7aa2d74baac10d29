package quota

import (
	"cmp"
	"math/bits"
	"slices"
)

// Share divides the total by weighted max-min fairness: nobody gets more than it
// wants, and among those that get less, the parts are as their weights. The sum
// never exceeds the total; rounding moves less than one unit for each demand. The
// parts stand in the order of the demands.
func Share(total uint64, demands []Demand) []uint64 {
	order := make([]int, len(demands))
	weights := uint64(0)
	for i, d := range demands {
		order[i] = i
		weights += d.weight()
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return compareRatios(demands[a], demands[b])
	})
	parts := make([]uint64, len(demands))
	left := total
	for _, i := range order {
		d := demands[i]
		parts[i] = min(d.Want, scale(left, d.weight(), weights))
		left -= parts[i]
		weights -= d.weight()
	}
	return parts
}

// compareRatios orders demands by Want/Weight without rounding.
func compareRatios(a, b Demand) int {
	aHigh, aLow := bits.Mul64(a.Want, b.weight())
	bHigh, bLow := bits.Mul64(b.Want, a.weight())
	return cmp.Or(cmp.Compare(aHigh, bHigh), cmp.Compare(aLow, bLow))
}

// scale returns amount*part/whole, rounded down, without overflow. Part is at
// most whole.
func scale(amount, part, whole uint64) uint64 {
	if part >= whole {
		return amount
	}
	high, low := bits.Mul64(amount, part)
	quotient, _ := bits.Div64(high, low, whole)
	return quotient
}

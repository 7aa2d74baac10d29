package quota

import (
	"cmp"
	"math/bits"
	"slices"
)

// Share divides the total by weighted max-min fairness and returns the parts in
// the order of the demands. No part exceeds what its demand wants, and the parts
// that are less than wanted are proportional to the weights. The sum never exceeds
// the total. Rounding errors are less than one unit per demand.
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
	remaining := total
	for _, i := range order {
		d := demands[i]
		parts[i] = min(d.Want, mulDiv(remaining, d.weight(), weights))
		remaining -= parts[i]
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

// mulDiv returns amount*part/whole, rounded down, without overflow of the
// product. If part is not less than whole, it returns amount.
func mulDiv(amount, part, whole uint64) uint64 {
	if part >= whole {
		return amount
	}
	high, low := bits.Mul64(amount, part)
	quotient, _ := bits.Div64(high, low, whole)
	return quotient
}

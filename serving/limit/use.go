package limit

import (
	"math"
	"time"
)

// quarters is the number of parts into which the window is divided in a Use.
const quarters = 4

// Use is what was used of a limit in the window before some instant, by quarters of
// the window, the latest first.
type Use [quarters]float64

// Total returns the use in the whole window.
func (u Use) Total() float64 {
	return u.after(0, 1)
}

// add adds another use.
func (u *Use) add(v Use) {
	for i := range u {
		u[i] += v[i]
	}
}

// after returns how much of the use is still in the window after some time.
func (u Use) after(passed, window time.Duration) float64 {
	sum := 0.0
	for i, amount := range u {
		if passed+time.Duration(i)*window/quarters < window {
			sum += amount
		}
	}
	return sum
}

// shifted returns the use as quarters of the window before a later instant.
func (u Use) shifted(age, window time.Duration) Use {
	var out Use
	by := int(age / max(window/quarters, 1))
	for i, amount := range u {
		if i+by < quarters {
			out[i+by] += amount
		}
	}
	return out
}

// isValid reports whether the use could be that of a gateway.
func (u Use) isValid() bool {
	for _, amount := range u {
		if !isAmount(amount) {
			return false
		}
	}
	return true
}

// maxAmount bounds the amounts that a gateway believes of another.
const maxAmount = 1e15

// isAmount reports whether a number can be an amount.
func isAmount(x float64) bool {
	return x >= 0 && x <= maxAmount && !math.IsNaN(x)
}

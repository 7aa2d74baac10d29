package route

// ewma is an exponentially weighted moving average. The zero value is empty; the
// first observation becomes the average.
type ewma struct {
	value    float64
	hasValue bool
}

func (a *ewma) add(x, weight float64) {
	if !a.hasValue {
		a.value = x
		a.hasValue = true
		return
	}
	a.value += weight * (x - a.value)
}

// valueOr returns the average, or fallback if there is none yet.
func (a *ewma) valueOr(fallback float64) float64 {
	if a.hasValue {
		return a.value
	}
	return fallback
}

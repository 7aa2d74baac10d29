package route

// ewma is an exponentially weighted moving average. The zero value has no
// value yet.
type ewma struct {
	value float64
	known bool
}

func (a *ewma) add(x, weight float64) {
	if !a.known {
		a.value = x
		a.known = true
		return
	}
	a.value += weight * (x - a.value)
}

func (a *ewma) or(unknown float64) float64 {
	if a.known {
		return a.value
	}
	return unknown
}

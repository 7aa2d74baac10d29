package entry

// inheritUse hands over what a former process of this gateway has used of the
// customers' limits.
type inheritUse struct {
	used map[string]float64
}

func (inheritUse) isDispatchMessage() {}

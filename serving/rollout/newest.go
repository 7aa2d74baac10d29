package rollout

// Newest returns the newest stage of an order among those known; without one, the newest
// of any order of the service, or the zero Stage.
func Newest(o Order, known []Stage) Stage {
	var own, other Stage
	for _, s := range known {
		switch {
		case s.Service != o.Service || isReplaced(s, known):
		case s.Concerns(o):
			own = newer(own, s)
		default:
			other = newer(other, s)
		}
	}
	if own.Service != "" {
		return own
	}
	return other
}

// isReplaced reports whether a stage is of an order that had been replaced when the
// roll-out of another one began.
func isReplaced(s Stage, known []Stage) bool {
	for _, k := range known {
		if k.Service == s.Service && s.Revision <= k.After {
			return true
		}
	}
	return false
}

func newer(a, b Stage) Stage {
	if b.IsNewer(a) {
		return b
	}
	return a
}

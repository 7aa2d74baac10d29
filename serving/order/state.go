package order

import "slices"

// State is the state that an engine reports.
type State struct {
	// Models are the loaded and loading models.
	Models []ModelState `json:"models"`
	// Adapters are the served adapters.
	Adapters []string `json:"adapters"`
	// Role is the present role.
	Role string `json:"role"`
	// LastFencing is the fencing number of the last accepted order.
	LastFencing uint64 `json:"last_fencing"`
}

// IsServing reports whether the engine serves all of the desired state. It may
// serve other models too.
func (s *State) IsServing(desired DesiredState) bool {
	for _, m := range desired.Models {
		if !slices.Contains(s.Models, ModelState{Model: m, State: ModelLoaded}) {
			return false
		}
	}
	return s.hasSettings(desired)
}

// CanServe reports whether the engine has the desired models loaded in any
// version: it serves another version until the desired one is loaded.
func (s *State) CanServe(desired DesiredState) bool {
	for _, m := range desired.Models {
		isLoaded := func(found ModelState) bool { return found.Name == m.Name && found.State == ModelLoaded }
		if !slices.ContainsFunc(s.Models, isLoaded) {
			return false
		}
	}
	return true
}

// ReflectsOrder reports whether the engine has accepted an order with the desired
// state: it serves or loads those models and none of another name, and has the
// desired adapters and role.
func (s *State) ReflectsOrder(desired DesiredState) bool {
	for _, m := range desired.Models {
		if !s.hasModel(m) {
			return false
		}
	}
	for _, m := range s.Models {
		if !slices.ContainsFunc(desired.Models, func(wanted Model) bool { return wanted.Name == m.Name }) {
			return false
		}
	}
	return s.hasSettings(desired)
}

// IsLoading reports whether the engine is reading weights.
func (s *State) IsLoading() bool {
	return slices.ContainsFunc(s.Models, func(m ModelState) bool { return m.State == ModelLoading })
}

// hasModel reports whether the engine serves or loads a model in that version.
func (s *State) hasModel(m Model) bool {
	return slices.ContainsFunc(s.Models, func(found ModelState) bool { return found.Model == m })
}

// hasSettings reports whether the adapters and the role are the desired ones.
func (s *State) hasSettings(desired DesiredState) bool {
	return s.Role == desired.Role && sameSet(s.Adapters, desired.Adapters)
}

// sameSet reports whether two lists without duplicates have the same elements.
func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for _, v := range a {
		if !slices.Contains(b, v) {
			return false
		}
	}
	return true
}

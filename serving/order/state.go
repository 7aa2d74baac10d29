package order

import "slices"

// State is what an engine reports.
type State struct {
	// Models are the models, loaded and loading.
	Models []ModelState `json:"models"`
	// Adapters are those that are served.
	Adapters []string `json:"adapters"`
	// Role is the present role.
	Role string `json:"role"`
	// LastFencing is the fencing number of the last order taken.
	LastFencing uint64 `json:"last_fencing"`
}

// IsServing reports whether the engine serves all that is wanted.
func (s *State) IsServing(w Wanted) bool {
	for _, m := range w.Models {
		if !slices.Contains(s.Models, ModelState{Model: m, State: ModelLoaded}) {
			return false
		}
	}
	return s.hasSettings(w)
}

// CanServe reports whether the engine has the wanted models loaded, if only in
// another version: it serves that one until the wanted version is loaded.
func (s *State) CanServe(w Wanted) bool {
	for _, m := range w.Models {
		isLoaded := func(found ModelState) bool { return found.Name == m.Name && found.State == ModelLoaded }
		if !slices.ContainsFunc(s.Models, isLoaded) {
			return false
		}
	}
	return true
}

// IsOrdered reports whether the engine serves what is wanted, and nothing else,
// or is on its way there.
func (s *State) IsOrdered(w Wanted) bool {
	for _, m := range w.Models {
		if !s.has(m) {
			return false
		}
	}
	for _, m := range s.Models {
		if !slices.ContainsFunc(w.Models, func(wanted Model) bool { return wanted.Name == m.Name }) {
			return false
		}
	}
	return s.hasSettings(w)
}

// IsLoading reports whether the engine is reading weights.
func (s *State) IsLoading() bool {
	return slices.ContainsFunc(s.Models, func(m ModelState) bool { return m.State == ModelLoading })
}

func (s *State) has(m Model) bool {
	return slices.ContainsFunc(s.Models, func(found ModelState) bool { return found.Model == m })
}

func (s *State) hasSettings(w Wanted) bool {
	return s.Role == w.Role && sameSet(s.Adapters, w.Adapters)
}

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

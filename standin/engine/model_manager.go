package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// fetchRetryDelay is the delay before a failed fetch is repeated.
const fetchRetryDelay = 200 * time.Millisecond

// modelManager loads and unloads models, and sets the adapters and the role, to
// reach the state of the last order. It maps model names to versions in loaded
// and loading.
type modelManager struct {
	config      Config
	host        *host.Host
	loaded      map[string]string
	loading     map[string]string
	adapters    []string
	role        string
	lastFencing uint64
	orders      []OrderRecord
}

func newModelManager(config Config, h *host.Host) *modelManager {
	mm := &modelManager{
		config:   config,
		host:     h,
		loaded:   make(map[string]string),
		loading:  make(map[string]string),
		adapters: slices.Clone(config.Adapters),
		role:     config.Role,
	}
	for _, m := range config.Models {
		mm.loaded[m.Name] = m.Version
	}
	return mm
}

// applyOrder records an order and adopts its desired state. It returns false
// when the order is stale and fencing numbers are checked.
func (mm *modelManager) applyOrder(o Order) bool {
	accepted := !mm.config.FencingChecked || o.Fencing >= mm.lastFencing
	mm.orders = append(mm.orders, OrderRecord{Fencing: o.Fencing, Accepted: accepted, Desired: o.Desired})
	if !accepted {
		return false
	}
	mm.lastFencing = o.Fencing
	mm.adapters = slices.Clone(o.Desired.Adapters)
	mm.role = o.Desired.Role
	mm.setModels(o.Desired.Models)
	return true
}

// setModels unloads the models that are not desired and loads the others.
func (mm *modelManager) setModels(desired []Model) {
	names := make(map[string]bool, len(desired))
	for _, m := range desired {
		names[m.Name] = true
	}
	undesired := func(name, _ string) bool { return !names[name] }
	maps.DeleteFunc(mm.loaded, undesired)
	maps.DeleteFunc(mm.loading, undesired)
	for _, m := range desired {
		mm.ensureLoaded(m)
	}
}

// ensureLoaded starts to load a model unless it is loaded or loading. An older
// version stays served until the new one is loaded.
func (mm *modelManager) ensureLoaded(m Model) {
	if mm.loaded[m.Name] == m.Version {
		delete(mm.loading, m.Name)
		return
	}
	if mm.loading[m.Name] == m.Version {
		return
	}
	mm.loading[m.Name] = m.Version
	mm.fetch(m)
}

func (mm *modelManager) fetch(m Model) {
	if mm.config.Loader == nil {
		mm.finishLoad(m)
		return
	}
	mm.config.Loader.Fetch(m, func(err error) {
		// When the ring is full, the callback is lost, and the model stays in
		// loading until an order asks for another version.
		_ = mm.host.Post(func() { mm.finishFetch(m, err) })
	})
}

// finishFetch loads the fetched weights, or retries a failed fetch. It does
// nothing when the model is no longer desired.
func (mm *modelManager) finishFetch(m Model, err error) {
	switch {
	case mm.loading[m.Name] != m.Version:
	case err != nil:
		mm.host.After(fetchRetryDelay, func() { mm.retryFetch(m) })
	default:
		mm.finishLoad(m)
	}
}

func (mm *modelManager) retryFetch(m Model) {
	if mm.loading[m.Name] == m.Version {
		mm.fetch(m)
	}
}

// finishLoad makes the model servable after the load time, unless an order has
// changed the desired version by then.
func (mm *modelManager) finishLoad(m Model) {
	mm.host.After(mm.config.LoadTime, func() {
		if mm.loading[m.Name] == m.Version {
			delete(mm.loading, m.Name)
			mm.loaded[m.Name] = m.Version
		}
	})
}

func (mm *modelManager) isLoaded(model string) bool {
	_, ok := mm.loaded[model]
	return ok
}

func (mm *modelManager) isLoading(model string) bool {
	_, ok := mm.loading[model]
	return ok
}

func (mm *modelManager) hasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(mm.adapters, adapter)
}

func (mm *modelManager) state() State {
	state := State{
		Models:      []ModelState{},
		Adapters:    append([]string{}, mm.adapters...),
		Role:        mm.role,
		Version:     Version,
		LastFencing: mm.lastFencing,
	}
	for name, version := range mm.loaded {
		state.Models = append(state.Models, ModelState{Name: name, Version: version, State: ModelLoaded})
	}
	for name, version := range mm.loading {
		state.Models = append(state.Models, ModelState{Name: name, Version: version, State: ModelLoading})
	}
	slices.SortFunc(state.Models, func(a, b ModelState) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.State, b.State))
	})
	return state
}

package engine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// fetchRetryDelay is the time between two reads of the same weights.
const fetchRetryDelay = 200 * time.Millisecond

// weights are the models, adapters and role of an engine, and the orders that
// change them.
type weights struct {
	config   Config
	host     *host.Host
	loaded   map[string]string
	loading  map[string]string
	adapters []string
	role     string
	fencing  uint64
	orders   []OrderWitness
}

func newWeights(config Config, h *host.Host) *weights {
	w := &weights{
		config:   config,
		host:     h,
		loaded:   make(map[string]string),
		loading:  make(map[string]string),
		adapters: slices.Clone(config.Adapters),
		role:     config.Role,
	}
	for _, m := range config.Models {
		w.loaded[m.Name] = m.Version
	}
	return w
}

// order takes an order and reports whether its fencing number is fresh.
func (w *weights) order(o Order) bool {
	taken := !w.config.FencingChecked || o.Fencing >= w.fencing
	w.orders = append(w.orders, OrderWitness{Fencing: o.Fencing, Taken: taken, Wanted: o.Wanted})
	if !taken {
		return false
	}
	w.fencing = o.Fencing
	w.adapters = slices.Clone(o.Wanted.Adapters)
	w.role = o.Wanted.Role
	w.setModels(o.Wanted.Models)
	return true
}

func (w *weights) setModels(wanted []Model) {
	names := make(map[string]bool, len(wanted))
	for _, m := range wanted {
		names[m.Name] = true
	}
	unwanted := func(name, _ string) bool { return !names[name] }
	maps.DeleteFunc(w.loaded, unwanted)
	maps.DeleteFunc(w.loading, unwanted)
	for _, m := range wanted {
		w.want(m)
	}
}

// want begins to load a model, unless it is there or on its way. An old
// version is served until the new one is loaded.
func (w *weights) want(m Model) {
	if w.loaded[m.Name] == m.Version {
		delete(w.loading, m.Name)
		return
	}
	if w.loading[m.Name] == m.Version {
		return
	}
	w.loading[m.Name] = m.Version
	w.fetch(m)
}

func (w *weights) fetch(m Model) {
	if w.config.Loader == nil {
		w.load(m)
		return
	}
	w.config.Loader.Fetch(m, func(err error) {
		// When the ring is full, the next order loads the model.
		_ = w.host.Post(func() { w.fetched(m, err) })
	})
}

// fetched loads the weights that came, or fetches them again after a while.
func (w *weights) fetched(m Model, err error) {
	switch {
	case w.loading[m.Name] != m.Version:
	case err != nil:
		w.host.After(fetchRetryDelay, func() { w.retry(m) })
	default:
		w.load(m)
	}
}

func (w *weights) retry(m Model) {
	if w.loading[m.Name] == m.Version {
		w.fetch(m)
	}
}

func (w *weights) load(m Model) {
	w.host.After(w.config.LoadTime, func() {
		if w.loading[m.Name] == m.Version {
			delete(w.loading, m.Name)
			w.loaded[m.Name] = m.Version
		}
	})
}

func (w *weights) isLoaded(model string) bool {
	_, ok := w.loaded[model]
	return ok
}

func (w *weights) isLoading(model string) bool {
	_, ok := w.loading[model]
	return ok
}

func (w *weights) hasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(w.adapters, adapter)
}

func (w *weights) state() State {
	state := State{
		Models:      []ModelState{},
		Adapters:    append([]string{}, w.adapters...),
		Role:        w.role,
		Version:     Version,
		LastFencing: w.fencing,
	}
	for name, version := range w.loaded {
		state.Models = append(state.Models, ModelState{Name: name, Version: version, State: ModelLoaded})
	}
	for name, version := range w.loading {
		state.Models = append(state.Models, ModelState{Name: name, Version: version, State: ModelLoading})
	}
	slices.SortFunc(state.Models, func(a, b ModelState) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.State, b.State))
	})
	return state
}

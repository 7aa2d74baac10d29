package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// applyConfig takes over the configuration of a page, if it is newer than what is known.
func (w *watch) applyConfig(p rows.Page) {
	for _, r := range p.Rows {
		if r.Key.Sort != served.ConfigKey || r.Removed {
			continue
		}
		next, err := served.DecodeConfig(r.Value)
		if err != nil {
			w.log.Warn().Str("cause", err.Error()).Msg("row_ignored")
			continue
		}
		if w.config != nil && next.Version <= w.config.Version {
			w.noteFormerConfig(next, p)
			continue
		}
		w.setConfig(&configCopy{Catalog: next, value: r.Value, timeline: p.Timeline, storeVersion: r.Version, source: configFromStore})
	}
}

// configVersion returns the version of the configuration that is known; 0 if none is.
func (w *watch) configVersion() uint64 {
	if w.config == nil {
		return 0
	}
	return w.config.Version
}

// setConfig takes over a configuration that is newer than what is known.
func (w *watch) setConfig(next *configCopy) {
	w.config = next
	w.catchUp.Has(next.Version)
	w.configChanged = true
	w.fleetChanged = true
}

// noteFormerConfig logs that the store has a configuration that is older than the one that is
// known, which stays in force.
func (w *watch) noteFormerConfig(stored *catalog.Catalog, p rows.Page) {
	if stored.Version < w.config.Version {
		w.log.Warn().Uint64("config", w.config.Version).Uint64("stored", stored.Version).Uint64("timeline", p.Timeline).Msg("config_kept")
	}
}

func (w *watch) logConfigInForce() {
	c := w.config
	w.log.Info().Uint64("config", c.Version).Str("source", c.source).Uint64("store_version", c.storeVersion).Uint64("timeline", c.timeline).
		Int("routes", c.RouteCount()).Int("customers", len(c.Customers)).Msg("config_in_force")
}

// mayUseConfig reports whether the configuration that is known may be used: the first one of a
// process may be older than what the others use. It logs each change of why.
func (w *watch) mayUseConfig(now clock.Instant) bool {
	standing := w.catchUp.Standing(now)
	if standing != w.loggedStanding && standing != exchange.Unquestioned {
		state := w.catchUp.State(now)
		event := "config_awaited"
		if standing.MayUse() {
			event = "config_allowed"
		}
		w.log.Info().Str("why", string(standing)).Uint64("known", w.config.Version).Uint64("timeline", state.Timeline).
			Int64("read_ms_ago", state.ReadMillisAgo).Uint64("newest", state.Newest).Str("newest_from", state.NewestFrom).
			Int("answered", len(state.Answered)).Int("failed", len(state.Failed)).Msg(event)
	}
	w.loggedStanding = standing
	return standing.MayUse()
}

// configInUse returns the configuration that dispatch has, or is to get; nil if none is.
func (w *watch) configInUse() *configCopy {
	if !w.catchUp.IsInUse() {
		return nil
	}
	return w.config
}

// catalogInUse returns what configInUse does, without where it comes from.
func (w *watch) catalogInUse() *catalog.Catalog {
	if c := w.configInUse(); c != nil {
		return c.Catalog
	}
	return nil
}

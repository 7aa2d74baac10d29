package entry

import (
	"bytes"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/platform/boot"
)

// reloadInterval is the time between two checks of the settings file.
const reloadInterval = 2 * time.Second

// reloader is the duty that rereads the settings file, on request and when it has
// changed. Only the retry budget is applied without a restart.
type reloader struct {
	inbox    *ring.Ring[reloadMessage]
	dispatch *ring.Ring[dispatchMessage]
	path     string
	log      zerolog.Logger
	lastText []byte
}

func (r *reloader) run() error {
	r.lastText = r.read()
	for {
		_, requested, err := r.inbox.TakeUntil(reloadInterval)
		if err != nil {
			return nil
		}
		r.reloadIfChanged(requested)
	}
}

// reloadIfChanged applies the file if it has changed or a reload was requested.
func (r *reloader) reloadIfChanged(requested bool) {
	text := r.read()
	if text == nil || (bytes.Equal(text, r.lastText) && !requested) {
		return
	}
	changed := !bytes.Equal(text, r.lastText)
	r.lastText = text
	settings, err := boot.Decode(text)
	if err != nil {
		r.log.Error().Str("path", r.path).Str("cause", err.Error()).Msg("settings_invalid")
		return
	}
	r.log.Info().Str("path", r.path).Bool("changed", changed).Msg("settings_reloaded")
	offerOrLog(r.dispatch, dispatchMessage(setRetryBudget{
		ratio: settings.RetryRatio, extra: settings.RetryExtra, window: settings.RetryWindow,
	}), r.log)
}

func (r *reloader) read() []byte {
	if r.path == "" {
		return nil
	}
	text, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Warn().Str("path", r.path).Str("cause", err.Error()).Msg("settings_unreadable")
		return nil
	}
	return text
}

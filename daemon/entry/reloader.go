package entry

import (
	"bytes"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/platform/boot"
)

// reloadEvery is the time between two looks at the settings file.
const reloadEvery = 2 * time.Second

// reloader is the duty that reads the settings file again, when asked to and
// when it has changed.
type reloader struct {
	inbox    *ring.Ring[reloadMessage]
	dispatch *ring.Ring[dispatchMessage]
	path     string
	log      zerolog.Logger
	text     []byte
}

func (r *reloader) run() error {
	r.text = r.read()
	for {
		_, isAsked, err := r.inbox.TakeUntil(reloadEvery)
		if err != nil {
			return nil
		}
		r.look(isAsked)
	}
}

// look takes the file over if it has changed, and logs that it has not when it
// was asked.
func (r *reloader) look(isAsked bool) {
	text := r.read()
	if text == nil || (bytes.Equal(text, r.text) && !isAsked) {
		return
	}
	changed := !bytes.Equal(text, r.text)
	r.text = text
	settings, err := boot.Decode(text)
	if err != nil {
		r.log.Error().Str("path", r.path).Str("cause", err.Error()).Msg("settings_invalid")
		return
	}
	r.log.Info().Str("path", r.path).Bool("changed", changed).Msg("settings_reloaded")
	offerOr(r.dispatch, dispatchMessage(setBudget{
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

package site

import (
	client "github.com/sycamorecourse/sycamorecourse/edge/platform/weights"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
)

// loader fetches weights from the weight store. It implements engine.Loader.
type loader struct {
	weights *client.Client
}

// Fetch implements engine.Loader.
func (l *loader) Fetch(model engine.Model, done func(error)) {
	l.weights.Fetch(model.Name, model.Version, func(_ client.Manifest, err error) { done(err) })
}

package weights

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// Weights is a weight store. It has every model in every version.
type Weights struct {
	*host.Host
	config Config
	bytes  *host.Bucket
	calls  *host.Bucket
}

// New makes a weight store; Open starts it.
func New(config Config) *Weights {
	h := host.New(host.Config{Name: "weights", Address: config.Address})
	return &Weights{
		Host:   h,
		config: config,
		bytes:  host.NewBucket(config.BytesPerSecond, h.Now()),
		calls:  host.NewBucket(config.CallsPerSecond, h.Now()),
	}
}

// Open listens. Run is the duty.
func (w *Weights) Open() error { return w.Host.Open(&behavior{weights: w}) }

// read answers once the shared rate has let the weights through.
func (w *Weights) read(c *host.Call, model, version string) {
	manifest := Manifest{Model: model, Version: version, Bytes: w.config.Bytes}
	wait := w.bytes.Reserve(float64(w.config.Bytes), w.Now())
	w.After(wait, func() { c.ReplyJSON(http.StatusOK, manifest) })
}

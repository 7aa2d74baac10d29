package weights

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// Store is a stand-in weight store: an HTTP server and the one thread that serves
// its calls. All fields belong to that thread. Every model exists in every version.
type Store struct {
	*host.Host
	config     Config
	byteBucket *host.Bucket
	callBucket *host.Bucket
}

// New returns a store that is not listening yet; see Open.
func New(config Config) *Store {
	h := host.New(host.Config{Name: "weights", Address: config.Address})
	return &Store{
		Host:       h,
		config:     config,
		byteBucket: host.NewBucket(config.BytesPerSecond, h.Now()),
		callBucket: host.NewBucket(config.CallsPerSecond, h.Now()),
	}
}

// Open starts to listen. Calls are served once Run is called.
func (s *Store) Open() error { return s.Host.Open(&handler{store: s}) }

// sendManifest responds once the shared rate would have let the weights through.
func (s *Store) sendManifest(c *host.Call, model, version string) {
	manifest := Manifest{Model: model, Version: version, Bytes: s.config.Bytes}
	wait := s.byteBucket.Reserve(float64(s.config.Bytes), s.Now())
	s.After(wait, func() { c.ReplyJSON(http.StatusOK, manifest) })
}

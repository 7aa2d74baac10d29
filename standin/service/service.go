package service

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// KeyHeader names the header with the request key.
const KeyHeader = "X-Request-Key"

// pathRuns shows the witness.
const pathRuns = host.ControlPrefix + "runs"

// Service is a plain service.
type Service struct {
	*host.Host
	config Config
	keys   []*KeyWitness
	byKey  map[string]*KeyWitness
	runs   int
}

// New makes a service; Open starts it.
func New(config Config) *Service {
	if config.Name == "" {
		config.Name = "service"
	}
	return &Service{
		Host:   host.New(host.Config{Name: config.Name, Address: config.Address}),
		config: config,
		byKey:  make(map[string]*KeyWitness),
	}
}

// Open listens. Run is the duty.
func (s *Service) Open() error { return s.Host.Open(&behavior{service: s}) }

func (s *Service) run(c *host.Call) {
	if s.Faults().RefuseStart {
		c.Fail(http.StatusServiceUnavailable, host.FailureNotRun, "new calls are refused")
		return
	}
	key := s.count(c)
	digest := sha256.Sum256(c.Body)
	answer := Answer{
		Key:        key.Key,
		Method:     c.Method,
		Path:       c.Path,
		BodySHA256: hex.EncodeToString(digest[:]),
		Run:        key.Runs,
	}
	if s.config.Latency <= 0 {
		c.ReplyJSON(http.StatusOK, answer)
		return
	}
	s.After(s.config.Latency, func() { c.ReplyJSON(http.StatusOK, answer) })
}

func (s *Service) count(c *host.Call) *KeyWitness {
	key := c.Header.Get(KeyHeader)
	witness := s.byKey[key]
	if witness == nil {
		witness = &KeyWitness{Key: key}
		s.byKey[key] = witness
		s.keys = append(s.keys, witness)
	}
	s.runs++
	witness.Runs++
	witness.Method = c.Method
	witness.Path = c.Path
	return witness
}

func (s *Service) witness() Witness {
	return Witness{Keys: append([]*KeyWitness{}, s.keys...), Runs: s.runs}
}

package service

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// KeyHeader is the name of the header that carries the request key.
const KeyHeader = "X-Request-Key"

// auditLogPath is the path of the audit log. No fault affects it.
const auditLogPath = host.ControlPrefix + "runs"

// Service is a stand-in service: an HTTP server and the one thread that serves its
// calls. All fields belong to that thread.
type Service struct {
	*host.Host
	config Config
	// byFirstRun holds the records sorted by first run.
	byFirstRun []*KeyRuns
	byKey      map[string]*KeyRuns
	runs       int
}

// New returns a service that is not listening yet; see Open.
func New(config Config) *Service {
	if config.Name == "" {
		config.Name = "service"
	}
	return &Service{
		Host:   host.New(host.Config{Name: config.Name, Address: config.Address}),
		config: config,
		byKey:  make(map[string]*KeyRuns),
	}
}

// Open starts to listen. Calls are served once Run is called.
func (s *Service) Open() error { return s.Host.Open(&handler{service: s}) }

// run serves a call. It counts the run at once and responds after the latency.
func (s *Service) run(c *host.Call) {
	if s.Faults().RefuseStart {
		c.Fail(http.StatusServiceUnavailable, host.FailureNotRun, "new calls are refused")
		return
	}
	key := s.recordRun(c)
	digest := sha256.Sum256(c.Body)
	answer := RunResponse{
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

// recordRun adds a call to the record of its key, which it returns.
func (s *Service) recordRun(c *host.Call) *KeyRuns {
	key := c.Header.Get(KeyHeader)
	record := s.byKey[key]
	if record == nil {
		record = &KeyRuns{Key: key}
		s.byKey[key] = record
		s.byFirstRun = append(s.byFirstRun, record)
	}
	s.runs++
	record.Runs++
	record.Method = c.Method
	record.Path = c.Path
	return record
}

func (s *Service) auditLog() AuditLog {
	return AuditLog{Keys: append([]*KeyRuns{}, s.byFirstRun...), Runs: s.runs}
}

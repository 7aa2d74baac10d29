package witness

import (
	"encoding/json"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/fetch"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/service"
)

// path serves the audit log of a stand-in.
const path = "/standin/runs"

// Runs counts the runs of each request.
type Runs struct {
	// Missing are the upstreams that did not answer.
	Missing []string

	requests map[string]int
	calls    map[string]int
}

// Of makes the runs of requests whose counts are known, by CUSTOMER/KEY.
func Of(requests map[string]int) *Runs {
	return &Runs{requests: requests, calls: make(map[string]int)}
}

// Read reads the audit logs of all upstreams, engines and plain services alike.
func Read(client *fetch.Client, upstreams []string) (*Runs, error) {
	runs := Of(make(map[string]int))
	for _, address := range upstreams {
		body, err := client.Get(address, path)
		if err != nil {
			runs.Missing = append(runs.Missing, address)
			continue
		}
		if err := runs.add(body); err != nil {
			return nil, err
		}
	}
	return runs, nil
}

// ReadEngine reads the audit log of one engine.
func ReadEngine(client *fetch.Client, address string) (engine.AuditLog, error) {
	body, err := client.Get(address, path)
	if err != nil {
		return engine.AuditLog{}, err
	}
	var w engine.AuditLog
	err = json.Unmarshal(body, &w)
	return w, err
}

// Requests returns how often engines started a request of a customer.
func (r *Runs) Requests(customer, key string) int {
	return r.requests[customer+"/"+key]
}

// Calls returns how often plain services ran a call.
func (r *Runs) Calls(key string) int {
	return r.calls[key]
}

// Total returns the number of all runs.
func (r *Runs) Total() int {
	total := 0
	for _, n := range r.requests {
		total += n
	}
	for _, n := range r.calls {
		total += n
	}
	return total
}

// add takes the witness of an upstream: that of an engine names requests, that
// of a plain service names keys. Calls without a key are no requests of callers.
func (r *Runs) add(body []byte) error {
	var e engine.AuditLog
	if err := json.Unmarshal(body, &e); err != nil {
		return err
	}
	for _, request := range e.Requests {
		id := request.RequestID
		if at := strings.LastIndexByte(id, '#'); at >= 0 {
			id = id[:at]
		}
		r.requests[id] += request.TimesStarted
	}
	var s service.AuditLog
	if err := json.Unmarshal(body, &s); err != nil {
		return err
	}
	for _, key := range s.Keys {
		if key.Key != "" {
			r.calls[key.Key] += key.Runs
		}
	}
	return nil
}

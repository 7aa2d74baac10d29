package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// slotsPerCaller is the number of slots of delivery's ring that are set aside
// for each caller: one for the first word to it, one for the end of its answer.
const slotsPerCaller = 2

// admission is the duty that finds out who asks and reserves room for the
// answer.
type admission struct {
	inbox       *ring.Ring[admissionMessage]
	dispatch    *ring.Ring[dispatchMessage]
	delivery    *ring.Ring[deliveryMessage]
	keep        time.Duration
	credentials map[string]identity
	addresses   []caller.Address
	lastHandle  dispatch.CallerHandle
	dump        admissionDump
}

func (a *admission) run() error {
	for {
		m, err := a.inbox.Take()
		if err != nil {
			return nil
		}
		a.handle(m)
	}
}

func (a *admission) handle(m admissionMessage) {
	switch {
	case m.ticket != nil:
		a.admit(m.ticket)
	case m.configuration != nil:
		a.configure(m.configuration)
	case m.addresses != nil:
		a.addresses = m.addresses
	case m.leave:
		a.dump.Leaving = true
	case m.dump != nil:
		a.report(m.dump)
	}
}

func (a *admission) report(reply *ring.Ring[report.Section]) {
	state := a.dump
	state.Credentials = len(a.credentials)
	state.Addresses = a.addresses
	_ = reply.Offer(report.Section{Name: "admission", State: state})
}

func (a *admission) configure(c *intent.Configuration) {
	a.credentials = make(map[string]identity)
	for i := range c.Documents {
		d := &c.Documents[i]
		for _, customer := range d.Customers {
			a.credentials[customer.CredentialSHA256] = identity{
				member:   d.Member,
				customer: dispatch.CustomerName(d.Member, customer.Name),
			}
		}
	}
}

func (a *admission) admit(t *ticket) {
	switch m := t.message.(type) {
	case *caller.AddressQuery:
		list := caller.AddressList{Addresses: a.addresses, KeepSeconds: int(a.keep / time.Second)}
		_ = caller.ReplyJSON(t.exchange, http.StatusOK, list)
	case *caller.Submit:
		a.submit(t.exchange, m)
	case *caller.ServiceCall:
		a.serviceCall(t.exchange, m)
	case *caller.Resume:
		a.resume(t.exchange, m)
	case *caller.Cancel:
		a.cancel(t.exchange, m)
	}
}

func (a *admission) submit(x *httpd.Exchange, m *caller.Submit) {
	who, ok := a.authenticate(x, m.Credential)
	if !ok {
		return
	}
	r := m.Request
	r.Member = who.member
	r.ID.Customer = who.customer
	a.pass(x, openCaller{id: r.ID, streamed: r.Streamed}, func(h dispatch.CallerHandle) dispatchMessage {
		return arrive{arrival: dispatch.Arrival{Handle: h, Request: r, UnixSeconds: x.Arrived.Unix()}}
	})
}

func (a *admission) serviceCall(x *httpd.Exchange, m *caller.ServiceCall) {
	who, ok := a.authenticate(x, m.Credential)
	if !ok {
		return
	}
	r := request.Request{
		ID:       request.ID{Customer: who.customer, Key: m.Key},
		Member:   who.member,
		Deadline: m.Deadline,
		Call: &request.ServiceCall{
			Service: m.Service,
			Method:  m.Method,
			Path:    m.Path,
			Header:  fieldsOf(m.Header),
			Body:    m.Body,
		},
	}
	a.pass(x, openCaller{id: r.ID}, func(h dispatch.CallerHandle) dispatchMessage {
		return arrive{arrival: dispatch.Arrival{Handle: h, Request: r, UnixSeconds: x.Arrived.Unix()}}
	})
}

func (a *admission) resume(x *httpd.Exchange, m *caller.Resume) {
	who, ok := a.authenticate(x, m.Credential)
	if !ok {
		return
	}
	id := request.ID{Customer: who.customer, Key: m.Key}
	a.pass(x, openCaller{id: id, streamed: m.Streamed}, func(h dispatch.CallerHandle) dispatchMessage {
		return resume{handle: h, id: id, from: m.From}
	})
}

func (a *admission) cancel(x *httpd.Exchange, m *caller.Cancel) {
	who, ok := a.authenticate(x, m.Credential)
	if !ok {
		return
	}
	id := request.ID{Customer: who.customer, Key: m.Key}
	a.pass(x, openCaller{id: id}, func(h dispatch.CallerHandle) dispatchMessage {
		return cancel{handle: h, id: id}
	})
}

// pass tells delivery of the caller and dispatch of what it wants. Room for all
// that delivery must be told later is reserved first.
func (a *admission) pass(x *httpd.Exchange, open openCaller, message func(dispatch.CallerHandle) dispatchMessage) {
	a.lastHandle++
	open.handle = a.lastHandle
	open.exchange = x
	if !a.openCaller(open) {
		a.dump.Overloaded++
		_ = caller.ReplyProblem(x, overloaded(), nil)
		return
	}
	if err := a.dispatch.Offer(message(open.handle)); err != nil {
		a.dump.Overloaded++
		a.delivery.Release()
		_ = a.delivery.OfferReserved(refuseCaller{handle: open.handle, refusal: overloaded()})
	}
}

func (a *admission) openCaller(open openCaller) bool {
	for i := range slotsPerCaller {
		if a.delivery.Reserve() != nil {
			a.release(i)
			return false
		}
	}
	if a.delivery.Offer(open) != nil {
		a.release(slotsPerCaller)
		return false
	}
	return true
}

func (a *admission) release(slots int) {
	for range slots {
		a.delivery.Release()
	}
}

// authenticate refuses the caller itself when it has no valid credential.
func (a *admission) authenticate(x *httpd.Exchange, credential string) (identity, bool) {
	if a.credentials == nil {
		refusal := &request.Refusal{
			Outcome:    request.NotRun,
			Reason:     request.NotConfigured,
			Detail:     "no configuration has been confirmed yet",
			RetryAfter: fullRetry,
		}
		_ = caller.ReplyProblem(x, refusal, nil)
		return identity{}, false
	}
	// Only digests are compared, so the time of the look-up tells nothing of
	// the credential itself.
	sum := sha256.Sum256([]byte(credential))
	who, ok := a.credentials[hex.EncodeToString(sum[:])]
	if credential == "" || !ok {
		a.dump.Unauthorized++
		refusal := &request.Refusal{
			Outcome: request.NotRun,
			Reason:  request.Unauthorized,
			Detail:  "a valid credential is needed: Authorization: Bearer ...",
		}
		_ = caller.ReplyProblem(x, refusal, nil)
		return identity{}, false
	}
	return who, true
}

func fieldsOf(header http.Header) []request.HeaderField {
	fields := make([]request.HeaderField, 0, len(header))
	for name := range header {
		fields = append(fields, request.HeaderField{Name: name, Value: header.Get(name)})
	}
	return fields
}

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

// reservedSlotsPerCaller is the number of slots reserved in the delivery ring
// for each caller: one for the message that accepts, attaches or refuses it,
// one for the end of its answer.
const reservedSlotsPerCaller = 2

// admission is the duty that authenticates callers, reserves room for their
// answers and forwards their requests to dispatch.
type admission struct {
	inbox       *ring.Ring[admissionMessage]
	dispatch    *ring.Ring[dispatchMessage]
	delivery    *ring.Ring[deliveryMessage]
	addressKeep time.Duration
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
	case m.request != nil:
		a.admit(m.request)
	case m.configuration != nil:
		a.configure(m.configuration)
	case m.addresses != nil:
		a.addresses = m.addresses
	case m.drain:
		a.dump.Draining = true
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

func (a *admission) admit(r *decodedRequest) {
	switch m := r.message.(type) {
	case *caller.AddressQuery:
		list := caller.AddressList{Addresses: a.addresses, KeepSeconds: int(a.addressKeep / time.Second)}
		_ = caller.ReplyJSON(r.exchange, http.StatusOK, list)
	case *caller.Submit:
		a.submit(r.exchange, m)
	case *caller.ServiceCall:
		a.serviceCall(r.exchange, m)
	case *caller.Resume:
		a.resume(r.exchange, m)
	case *caller.Cancel:
		a.cancel(r.exchange, m)
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
	a.forward(x, registerCaller{id: r.ID, streamed: r.Streamed}, func(h dispatch.CallerHandle) dispatchMessage {
		return submitRequest{arrival: dispatch.Arrival{Handle: h, Request: r, UnixSeconds: x.Arrived.Unix()}}
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
			Header:  headerFields(m.Header),
			Body:    m.Body,
		},
	}
	a.forward(x, registerCaller{id: r.ID}, func(h dispatch.CallerHandle) dispatchMessage {
		return submitRequest{arrival: dispatch.Arrival{Handle: h, Request: r, UnixSeconds: x.Arrived.Unix()}}
	})
}

func (a *admission) resume(x *httpd.Exchange, m *caller.Resume) {
	who, ok := a.authenticate(x, m.Credential)
	if !ok {
		return
	}
	id := request.ID{Customer: who.customer, Key: m.Key}
	a.forward(x, registerCaller{id: id, streamed: m.Streamed}, func(h dispatch.CallerHandle) dispatchMessage {
		return resumeAnswer{handle: h, id: id, from: m.From}
	})
}

func (a *admission) cancel(x *httpd.Exchange, m *caller.Cancel) {
	who, ok := a.authenticate(x, m.Credential)
	if !ok {
		return
	}
	id := request.ID{Customer: who.customer, Key: m.Key}
	a.forward(x, registerCaller{id: id}, func(h dispatch.CallerHandle) dispatchMessage {
		return cancelRequest{handle: h, id: id}
	})
}

// forward registers the caller with delivery and sends its request to
// dispatch. The slots for all that dispatch must tell the caller later are
// reserved first, so these messages always find room.
func (a *admission) forward(x *httpd.Exchange, m registerCaller, message func(dispatch.CallerHandle) dispatchMessage) {
	a.lastHandle++
	m.handle = a.lastHandle
	m.exchange = x
	if !a.registerCaller(m) {
		a.dump.Overloaded++
		_ = caller.ReplyProblem(x, overloaded(), nil)
		return
	}
	if err := a.dispatch.Offer(message(m.handle)); err != nil {
		a.dump.Overloaded++
		a.delivery.Release()
		_ = a.delivery.OfferReserved(refuseCaller{handle: m.handle, refusal: overloaded()})
	}
}

// registerCaller reserves the slots of a caller and hands its exchange to
// delivery. It returns false, with nothing reserved, if there is no room.
func (a *admission) registerCaller(m registerCaller) bool {
	for i := range reservedSlotsPerCaller {
		if a.delivery.Reserve() != nil {
			a.releaseSlots(i)
			return false
		}
	}
	if a.delivery.Offer(m) != nil {
		a.releaseSlots(reservedSlotsPerCaller)
		return false
	}
	return true
}

func (a *admission) releaseSlots(slots int) {
	for range slots {
		a.delivery.Release()
	}
}

// authenticate returns the owner of a credential. Without a valid one it
// refuses the caller and returns false.
func (a *admission) authenticate(x *httpd.Exchange, credential string) (identity, bool) {
	if a.credentials == nil {
		refusal := &request.Refusal{
			Outcome:    request.NotRun,
			Reason:     request.NotConfigured,
			Detail:     "no configuration has been confirmed yet",
			RetryAfter: defaultRetryAfter,
		}
		_ = caller.ReplyProblem(x, refusal, nil)
		return identity{}, false
	}
	// Looking up the digest keeps the timing of the look-up independent of the
	// credential.
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

func headerFields(header http.Header) []request.HeaderField {
	fields := make([]request.HeaderField, 0, len(header))
	for name := range header {
		fields = append(fields, request.HeaderField{Name: name, Value: header.Get(name)})
	}
	return fields
}

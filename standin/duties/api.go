package duties

import (
	"net/http"
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// API is a stand-in cloud API: an HTTP server and the one thread that serves
// its calls. Only New, Open, Run, Close, Post and Address may be called from
// other threads.
type API struct {
	*host.Host
	reports      []UsageReport
	orders       []ScaleOrder
	highestFence map[string]uint64
}

// New returns an API that is not listening yet; see Open.
func New(address string) *API {
	return &API{Host: host.New(host.Config{Name: "duties", Address: address}), highestFence: make(map[string]uint64)}
}

// Open starts to listen. Calls are served once Run is called.
func (a *API) Open() error { return a.Host.Open(&handler{api: a}) }

// Reports returns the accepted usage reports.
func (a *API) Reports() []UsageReport { return append([]UsageReport{}, a.reports...) }

// Orders returns the accepted scale orders.
func (a *API) Orders() []ScaleOrder { return append([]ScaleOrder{}, a.orders...) }

// SetFence makes the API refuse fencing numbers below fence for a subject,
// which is "/usage" or "/scale/" with the service, a slash and the zone.
func (a *API) SetFence(subject string, fence uint64) { a.highestFence[subject] = fence }

// handleCall serves POST /usage and POST /scale. Usage reports share one
// fencing number; scale orders have one for each service and zone.
func (a *API) handleCall(c *host.Call) {
	var m callBody
	if !c.Decode(&m) {
		return
	}
	fence, err := strconv.ParseUint(c.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		c.Fail(http.StatusBadRequest, host.FailureInvalid, "no fencing number")
		return
	}
	subject := c.Path
	if c.Path == "/scale" {
		subject += "/" + m.Service + "/" + m.Zone
	}
	if fence < a.highestFence[subject] {
		c.Fail(http.StatusConflict, host.FailureInvalid, "a higher fencing number was seen")
		return
	}
	a.highestFence[subject] = fence
	if c.Path == "/usage" {
		a.reports = append(a.reports, UsageReport{Holder: c.Header.Get("Duty-Holder"), Fence: fence, Window: m.Window, Counts: m.Counts})
	} else {
		a.orders = append(a.orders, ScaleOrder{Fence: fence, Service: m.Service, Zone: m.Zone, Count: m.Count, Spot: m.Spot})
	}
	c.Reply(http.StatusOK, nil, nil)
}

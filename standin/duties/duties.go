package duties

import (
	"net/http"
	"strconv"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// Duties is the API. Its methods but Open, Run, Close, Post and Address belong
// to its duty.
type Duties struct {
	*host.Host
	reports []Report
	orders  []Order
	highest map[string]uint64
}

// New makes the API; Open starts it.
func New(address string) *Duties {
	return &Duties{Host: host.New(host.Config{Name: "duties", Address: address}), highest: make(map[string]uint64)}
}

// Open listens. Run is the duty.
func (d *Duties) Open() error { return d.Host.Open(&behavior{duties: d}) }

// Reports returns the usage reports that were taken.
func (d *Duties) Reports() []Report { return append([]Report{}, d.reports...) }

// Orders returns the orders that were taken.
func (d *Duties) Orders() []Order { return append([]Order{}, d.orders...) }

// Raise makes the API refuse lower fencing numbers.
func (d *Duties) Raise(subject string, fence uint64) { d.highest[subject] = fence }

func (d *Duties) take(c *host.Call) {
	var m message
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
	if fence < d.highest[subject] {
		c.Fail(http.StatusConflict, host.FailureInvalid, "a higher fencing number was seen")
		return
	}
	d.highest[subject] = fence
	if c.Path == "/usage" {
		d.reports = append(d.reports, Report{Holder: c.Header.Get("Duty-Holder"), Fence: fence, Window: m.Window, Counts: m.Counts})
	} else {
		d.orders = append(d.orders, Order{Fence: fence, Service: m.Service, Zone: m.Zone, Count: m.Count, Spot: m.Spot})
	}
	c.Reply(http.StatusOK, nil, nil)
}

package cloud

import (
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// The paths of the cloud.
const (
	pathInstances = "/v1/instances"
	pathNotices   = "/v1/notices"
	pathPrices    = "/v1/prices"
	pathNotice    = host.ControlPrefix + "notice"
	pathCapacity  = host.ControlPrefix + "capacity"
	pathBill      = host.ControlPrefix + "bill"
	pathTruth     = host.ControlPrefix + "instances"
)

// behavior routes the calls of a Cloud. It implements host.Behavior.
type behavior struct {
	cloud *Cloud
}

// Serve implements host.Behavior.
func (b *behavior) Serve(c *host.Call) {
	if strings.HasPrefix(c.Path, host.ControlPrefix) {
		b.control(c)
		return
	}
	if !b.cloud.calls.Take(1, b.cloud.Now()) {
		b.Refuse(c, host.Throttled)
		return
	}
	if id, ok := strings.CutPrefix(c.Path, pathInstances+"/"); ok && c.Method == http.MethodDelete {
		b.cloud.end(c, id)
		return
	}
	switch c.Method + " " + c.Path {
	case "GET " + pathInstances:
		c.ReplyJSON(http.StatusOK, b.cloud.machines.list())
	case "POST " + pathInstances:
		b.cloud.start(c)
	case "GET " + pathNotices:
		b.cloud.notices(c)
	case "GET " + pathPrices:
		c.ReplyJSON(http.StatusOK, Prices{Offers: append([]Offer{}, b.cloud.config.Offers...)})
	default:
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
	}
}

func (b *behavior) control(c *host.Call) {
	switch c.Method + " " + c.Path {
	case "POST " + pathNotice:
		b.cloud.notice(c)
	case "POST " + pathCapacity:
		b.cloud.setCapacity(c)
	case "GET " + pathTruth:
		c.ReplyJSON(http.StatusOK, b.cloud.instances())
	case "GET " + pathBill:
		c.ReplyJSON(http.StatusOK, b.cloud.machines.bill())
	default:
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
	}
}

// Refuse implements host.Behavior.
func (*behavior) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusTooManyRequests, host.FailureThrottled)
}

// Gone implements host.Behavior.
func (b *behavior) Gone(c *host.Call) { b.cloud.announcer.remove(c) }

package cloud

import (
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// The paths of the cloud.
const (
	pathInstances        = "/v1/instances"
	pathNotices          = "/v1/notices"
	pathPrices           = "/v1/prices"
	pathReclaim          = host.ControlPrefix + "notice"
	pathCapacity         = host.ControlPrefix + "capacity"
	pathBill             = host.ControlPrefix + "bill"
	pathCurrentInstances = host.ControlPrefix + "instances"
)

// handler routes the calls of a Cloud. It implements host.Behavior.
type handler struct {
	cloud *Cloud
}

// Serve implements host.Behavior.
func (h *handler) Serve(c *host.Call) {
	if strings.HasPrefix(c.Path, host.ControlPrefix) {
		h.control(c)
		return
	}
	if !h.cloud.callLimiter.Take(1, h.cloud.Now()) {
		h.Refuse(c, host.Throttled)
		return
	}
	if id, ok := strings.CutPrefix(c.Path, pathInstances+"/"); ok && c.Method == http.MethodDelete {
		h.cloud.end(c, id)
		return
	}
	switch c.Method + " " + c.Path {
	case "GET " + pathInstances:
		c.ReplyJSON(http.StatusOK, h.cloud.machines.list())
	case "POST " + pathInstances:
		h.cloud.start(c)
	case "GET " + pathNotices:
		h.cloud.notices(c)
	case "GET " + pathPrices:
		c.ReplyJSON(http.StatusOK, Prices{Offers: append([]Offer{}, h.cloud.config.Offers...)})
	default:
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
	}
}

// control routes the calls that set up the stand-in or read its actual state.
// They are not rate limited.
func (h *handler) control(c *host.Call) {
	switch c.Method + " " + c.Path {
	case "POST " + pathReclaim:
		h.cloud.reclaimSelected(c)
	case "POST " + pathCapacity:
		h.cloud.setCapacity(c)
	case "GET " + pathCurrentInstances:
		c.ReplyJSON(http.StatusOK, h.cloud.currentInstances())
	case "GET " + pathBill:
		c.ReplyJSON(http.StatusOK, h.cloud.machines.bill())
	default:
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
	}
}

// Refuse implements host.Behavior.
func (*handler) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusTooManyRequests, host.FailureThrottled)
}

// Gone implements host.Behavior.
func (h *handler) Gone(c *host.Call) { h.cloud.noticeFeed.cancelPoll(c) }

package cloud

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// The paths of the cloud API.
const (
	pathInstances = "/v1/instances"
	pathNotices   = "/v1/notices"
	pathPrices    = "/v1/prices"
)

// Client calls the cloud API. Any thread may use it.
type Client struct {
	config Config
	http   *httpc.Client
}

// New returns a Client that sends its requests with http.
func New(config Config, http *httpc.Client) *Client {
	return &Client{config: config.withDefaults(), http: http}
}

// List returns the live and leaving instances. The list may be out of date. It
// fails with a *platform.UnavailableError.
func (c *Client) List(done func([]fleet.Instance, error)) {
	read(c, pathInstances, 0, func(list instanceList, err error) {
		done(list.Instances, err)
	})
}

// Prices returns the offers of instances that can be started. It fails with a
// *platform.UnavailableError.
func (c *Client) Prices(done func([]Offer, error)) {
	read(c, pathPrices, 0, func(list priceList, err error) {
		done(list.Offers, err)
	})
}

// Notices returns the reclaim notices with a sequence number above after. If there
// are none, the cloud waits for the next one, and returns an empty list after the
// wait. It fails with a *platform.UnavailableError.
func (c *Client) Notices(after uint64, wait time.Duration, done func(Notices, error)) {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	read(c, pathNotices+"?"+query.Encode(), wait, done)
}

// Start starts an instance. It fails with a *CapacityError, a *RefusedError, a
// *platform.NotFoundError or a *platform.UnavailableError if none was started,
// and with a *platform.OutcomeUnknownError if that is not certain. After that, a
// second call with the same client token returns the instance of the first.
func (c *Client) Start(request StartRequest, done func(fleet.Instance, error)) {
	body, err := json.Marshal(request)
	if err != nil {
		done(fleet.Instance{}, &RefusedError{Err: err})
		return
	}
	c.call(http.MethodPost, pathInstances, body, c.config.Timeout, func(response collect.Response, err error) {
		done(decodeStarted(request, response, err))
	})
}

// End terminates an instance. It succeeds if the instance has already ended. It
// fails with a *platform.NotFoundError, a *RefusedError or a
// *platform.UnavailableError if nothing was changed, and with a
// *platform.OutcomeUnknownError if that is not certain.
func (c *Client) End(id string, done func(error)) {
	path := pathInstances + "/" + url.PathEscape(id)
	c.call(http.MethodDelete, path, nil, c.config.Timeout, func(response collect.Response, err error) {
		done(writeError("instance "+id, response, err))
	})
}

// decodeStarted decodes the response to a start.
func decodeStarted(request StartRequest, response collect.Response, err error) (fleet.Instance, error) {
	if err == nil && response.Status == http.StatusServiceUnavailable && collect.DecodeJSONError(response).Code == codeCapacity {
		return fleet.Instance{}, &CapacityError{
			FailureDomain: request.FailureDomain,
			MachineClass:  request.MachineClass,
			Reclaimable:   request.Reclaimable,
		}
	}
	if err := writeError("instance", response, err); err != nil {
		return fleet.Instance{}, err
	}
	var instance fleet.Instance
	if err := collect.DecodeJSON(response, &instance); err != nil {
		return fleet.Instance{}, &platform.OutcomeUnknownError{Service: service, Err: err}
	}
	return instance, nil
}

// read makes a call that changes nothing and decodes the response. wait is added
// to the timeout.
func read[T any](c *Client, path string, wait time.Duration, done func(T, error)) {
	c.call(http.MethodGet, path, nil, c.config.Timeout+wait, func(response collect.Response, err error) {
		var result T
		if err == nil {
			err = collect.DecodeJSON(response, &result)
		}
		if err != nil {
			var none T
			done(none, platform.ClassifyReadError(service, err))
			return
		}
		done(result, nil)
	})
}

func (c *Client) call(method, path string, body []byte, timeout time.Duration, done func(collect.Response, error)) {
	collect.Start(c.http, &httpc.Call{
		Address: c.config.Address,
		Method:  method,
		Path:    path,
		Body:    body,
		Timeout: timeout,
	}, c.config.MaxResponseBytes, done)
}

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

// New makes a client that sends over http.
func New(config Config, http *httpc.Client) *Client {
	return &Client{config: config.withDefaults(), http: http}
}

// List gives the live and leaving instances as they were some time ago. It
// fails with a *platform.UnavailableError.
func (c *Client) List(done func([]fleet.Instance, error)) {
	read(c, pathInstances, 0, func(list instanceList, err error) {
		done(list.Instances, err)
	})
}

// Prices gives the kinds of instances that can be started. It fails with a
// *platform.UnavailableError.
func (c *Client) Prices(done func([]Offer, error)) {
	read(c, pathPrices, 0, func(list prices, err error) {
		done(list.Offers, err)
	})
}

// Notices gives the reclaim notices with a number above after. When there are
// none, it waits for the next one, or returns none after the wait. It fails
// with a *platform.UnavailableError.
func (c *Client) Notices(after uint64, wait time.Duration, done func(Notices, error)) {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	read(c, pathNotices+"?"+query.Encode(), wait, done)
}

// Start starts an instance. It fails with a *CapacityError, a *RefusedError or
// a *platform.UnavailableError when it surely started none, else with a
// *platform.UnknownError: a second call with the same client token then gives
// the instance.
func (c *Client) Start(request StartRequest, done func(fleet.Instance, error)) {
	body, err := json.Marshal(request)
	if err != nil {
		done(fleet.Instance{}, &RefusedError{Err: err})
		return
	}
	c.call(http.MethodPost, pathInstances, body, c.config.Timeout, func(answer collect.Answer, err error) {
		done(started(request, answer, err))
	})
}

// End ends an instance; one that has ended is no failure. It fails with a
// *platform.NotFoundError, a *RefusedError or a *platform.UnavailableError
// when it surely did nothing, else with a *platform.UnknownError.
func (c *Client) End(id string, done func(error)) {
	path := pathInstances + "/" + url.PathEscape(id)
	c.call(http.MethodDelete, path, nil, c.config.Timeout, func(answer collect.Answer, err error) {
		done(writeError("instance "+id, answer, err))
	})
}

func started(request StartRequest, answer collect.Answer, err error) (fleet.Instance, error) {
	if err == nil && answer.Status == http.StatusServiceUnavailable && collect.JSONError(answer).Code == codeCapacity {
		return fleet.Instance{}, &CapacityError{
			FailureDomain: request.FailureDomain,
			MachineClass:  request.MachineClass,
			Reclaimable:   request.Reclaimable,
		}
	}
	if err := writeError("instance", answer, err); err != nil {
		return fleet.Instance{}, err
	}
	var instance fleet.Instance
	if err := collect.DecodeJSON(answer, &instance); err != nil {
		return fleet.Instance{}, &platform.UnknownError{Service: service, Err: err}
	}
	return instance, nil
}

// read makes a call that changes nothing and decodes its answer.
func read[T any](c *Client, path string, wait time.Duration, done func(T, error)) {
	c.call(http.MethodGet, path, nil, c.config.Timeout+wait, func(answer collect.Answer, err error) {
		var result T
		if err == nil {
			err = collect.DecodeJSON(answer, &result)
		}
		if err != nil {
			var none T
			done(none, platform.ReadError(service, err))
			return
		}
		done(result, nil)
	})
}

func (c *Client) call(method, path string, body []byte, timeout time.Duration, done func(collect.Answer, error)) {
	collect.Start(c.http, &httpc.Call{
		Address: c.config.Address,
		Method:  method,
		Path:    path,
		Body:    body,
		Timeout: timeout,
	}, c.config.MaxAnswerBytes, done)
}

package cloud

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// Cloud is a stand-in cloud API: an HTTP server and the one thread that serves
// its calls. All fields belong to that thread.
type Cloud struct {
	*host.Host
	config         Config
	machines       *machines
	noticeFeed     *noticeFeed
	callLimiter    *host.Bucket
	capacityLimits []*Capacity
}

// New returns a cloud that is not listening yet; see Open.
func New(config Config) *Cloud {
	h := host.New(host.Config{Name: "cloud", Address: config.Address})
	return &Cloud{
		Host:        h,
		config:      config,
		machines:    newMachines(config, h),
		noticeFeed:  &noticeFeed{host: h},
		callLimiter: host.NewBucket(config.CallsPerSecond, h.Now()),
	}
}

// Open starts to listen. Calls are served once Run is called.
func (c *Cloud) Open() error { return c.Host.Open(&handler{cloud: c}) }

// Launch starts an instance that is live and listed at once, without boot time,
// list lag or capacity limits. Call it before Run.
func (c *Cloud) Launch(request StartRequest) (fleet.Instance, error) {
	vm, err := c.machines.start(request)
	if err != nil {
		return fleet.Instance{}, err
	}
	vm.instance.State = fleet.Live
	c.machines.published[vm.instance.ID] = vm.instance
	return vm.instance, nil
}

// EndAll ends all instances. Call it after Run has returned.
func (c *Cloud) EndAll() {
	for _, vm := range c.machines.sortedByID() {
		c.machines.end(vm)
	}
}

// start serves POST /v1/instances.
func (c *Cloud) start(call *host.Call) {
	var request StartRequest
	if !call.Decode(&request) {
		return
	}
	if known := c.machines.byToken[request.ClientToken]; known != nil {
		c.replyStarted(call, request, known)
		return
	}
	if c.Faults().RefuseStart || !c.hasCapacity(request) {
		call.Fail(http.StatusServiceUnavailable, FailureCapacity, "no machine is free")
		return
	}
	vm, err := c.machines.start(request)
	var unknown *UnknownOfferError
	switch {
	case errors.As(err, &unknown):
		call.Fail(http.StatusBadRequest, host.FailureInvalid, err.Error())
	case err != nil:
		call.Fail(http.StatusInternalServerError, host.FailureInternal, err.Error())
	default:
		c.useCapacity(request)
		c.machines.boot(vm)
		call.ReplyJSON(http.StatusCreated, vm.instance)
	}
}

// replyStarted replies with the instance that was started with the client token
// before. It refuses a different request with the same token.
func (c *Cloud) replyStarted(call *host.Call, request StartRequest, known *machine) {
	if known.request != request {
		call.Fail(http.StatusBadRequest, host.FailureInvalid, "the client token was used for another request")
		return
	}
	call.ReplyJSON(http.StatusOK, known.instance)
}

func (c *Cloud) hasCapacity(request StartRequest) bool {
	for _, limit := range c.capacityLimits {
		if limit.appliesTo(request) && limit.Instances == 0 {
			return false
		}
	}
	return true
}

// useCapacity counts a started instance against the limits that apply to it.
func (c *Cloud) useCapacity(request StartRequest) {
	for _, limit := range c.capacityLimits {
		if limit.appliesTo(request) && limit.Instances > 0 {
			limit.Instances--
		}
	}
}

// end serves DELETE /v1/instances/{id}. Ending an instance again succeeds.
func (c *Cloud) end(call *host.Call, id string) {
	vm := c.machines.byID[id]
	if vm == nil {
		call.Fail(http.StatusNotFound, host.FailureNotFound, "no such instance")
		return
	}
	c.machines.end(vm)
	call.ReplyJSON(http.StatusOK, vm.instance)
}

// notices serves GET /v1/notices, a long poll.
func (c *Cloud) notices(call *host.Call) {
	after, ok := call.QueryNumber("after")
	if !ok {
		return
	}
	millis, ok := call.QueryNumber("wait_ms")
	if !ok {
		return
	}
	c.noticeFeed.poll(&waiter{call: call, after: after}, time.Duration(millis)*time.Millisecond)
}

// reclaimSelected serves POST /standin/notice.
func (c *Cloud) reclaimSelected(call *host.Call) {
	var request NoticeRequest
	if !call.Decode(&request) {
		return
	}
	wait := time.Duration(request.Seconds * float64(time.Second))
	result := NoticeResponse{InstanceIDs: []string{}}
	for _, vm := range c.machines.sortedByID() {
		if !isSelected(vm.instance, request) {
			continue
		}
		result.InstanceIDs = append(result.InstanceIDs, vm.instance.ID)
		c.reclaim(vm, request, wait)
	}
	call.ReplyJSON(http.StatusOK, result)
}

// reclaim ends an instance: at once when the request is silent, else at the
// deadline of a published notice.
func (c *Cloud) reclaim(vm *machine, request NoticeRequest, wait time.Duration) {
	if request.Silent {
		c.machines.end(vm)
		return
	}
	c.machines.scheduleEnd(vm, wait)
	c.noticeFeed.publish(vm.instance.ID, vm.instance.Ends)
}

// currentInstances returns all instances without lag, including those that have
// ended.
func (c *Cloud) currentInstances() InstanceList {
	list := InstanceList{Instances: []fleet.Instance{}}
	for _, vm := range c.machines.sortedByID() {
		list.Instances = append(list.Instances, vm.instance)
	}
	return list
}

// isSelected reports whether a request reclaims an instance. On-demand
// instances can only be ended silently.
func isSelected(instance fleet.Instance, request NoticeRequest) bool {
	if instance.State == fleet.Gone || (!instance.Reclaimable && !request.Silent) {
		return false
	}
	return (request.InstanceID != "" && instance.ID == request.InstanceID) ||
		(request.FailureDomain != "" && instance.FailureDomain == request.FailureDomain)
}

// setCapacity serves POST /standin/capacity.
func (c *Cloud) setCapacity(call *host.Call) {
	var limit Capacity
	if !call.Decode(&limit) {
		return
	}
	for i, old := range c.capacityLimits {
		if old.FailureDomain == limit.FailureDomain && old.MachineClass == limit.MachineClass {
			c.capacityLimits[i] = &limit
			call.ReplyJSON(http.StatusOK, limit)
			return
		}
	}
	c.capacityLimits = append(c.capacityLimits, &limit)
	call.ReplyJSON(http.StatusOK, limit)
}

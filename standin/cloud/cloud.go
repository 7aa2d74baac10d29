package cloud

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// Cloud is a cloud API.
type Cloud struct {
	*host.Host
	config     Config
	machines   *machines
	announcer  *announcer
	calls      *host.Bucket
	capacities []*Capacity
}

// New makes a cloud; Open starts it.
func New(config Config) *Cloud {
	h := host.New(host.Config{Name: "cloud", Address: config.Address})
	return &Cloud{
		Host:      h,
		config:    config,
		machines:  newMachines(config, h),
		announcer: &announcer{host: h},
		calls:     host.NewBucket(config.CallsPerSecond, h.Now()),
	}
}

// Open listens. Run is the duty.
func (c *Cloud) Open() error { return c.Host.Open(&behavior{cloud: c}) }

// Launch starts an instance that is live and listed at once. It is called
// before Run.
func (c *Cloud) Launch(request StartRequest) (fleet.Instance, error) {
	next, err := c.machines.start(request)
	if err != nil {
		return fleet.Instance{}, err
	}
	next.instance.State = fleet.Live
	c.machines.published[next.instance.ID] = next.instance
	return next.instance, nil
}

// EndAll ends all instances. It is called after Run has returned.
func (c *Cloud) EndAll() {
	for _, next := range c.machines.sorted() {
		c.machines.end(next)
	}
}

func (c *Cloud) start(call *host.Call) {
	var request StartRequest
	if !call.Decode(&request) {
		return
	}
	if known := c.machines.byToken[request.ClientToken]; known != nil {
		c.startAgain(call, request, known)
		return
	}
	if c.Faults().RefuseStart || !c.hasCapacity(request) {
		call.Fail(http.StatusServiceUnavailable, FailureCapacity, "no machine is free")
		return
	}
	next, err := c.machines.start(request)
	var unknown *UnknownOfferError
	switch {
	case errors.As(err, &unknown):
		call.Fail(http.StatusBadRequest, host.FailureInvalid, err.Error())
	case err != nil:
		call.Fail(http.StatusInternalServerError, host.FailureInternal, err.Error())
	default:
		c.useCapacity(request)
		c.machines.boot(next)
		call.ReplyJSON(http.StatusCreated, next.instance)
	}
}

func (c *Cloud) startAgain(call *host.Call, request StartRequest, known *machine) {
	if known.request != request {
		call.Fail(http.StatusBadRequest, host.FailureInvalid, "the client token was used for another request")
		return
	}
	call.ReplyJSON(http.StatusOK, known.instance)
}

func (c *Cloud) hasCapacity(request StartRequest) bool {
	for _, limit := range c.capacities {
		if limit.covers(request) && limit.Instances == 0 {
			return false
		}
	}
	return true
}

func (c *Cloud) useCapacity(request StartRequest) {
	for _, limit := range c.capacities {
		if limit.covers(request) && limit.Instances > 0 {
			limit.Instances--
		}
	}
}

func (c *Cloud) end(call *host.Call, id string) {
	last := c.machines.byID[id]
	if last == nil {
		call.Fail(http.StatusNotFound, host.FailureNotFound, "no such instance")
		return
	}
	c.machines.end(last)
	call.ReplyJSON(http.StatusOK, last.instance)
}

func (c *Cloud) notices(call *host.Call) {
	after, ok := call.QueryNumber("after")
	if !ok {
		return
	}
	millis, ok := call.QueryNumber("wait_ms")
	if !ok {
		return
	}
	c.announcer.ask(&waiter{call: call, after: after}, time.Duration(millis)*time.Millisecond)
}

func (c *Cloud) notice(call *host.Call) {
	var request NoticeRequest
	if !call.Decode(&request) {
		return
	}
	wait := time.Duration(request.Seconds * float64(time.Second))
	result := Noticed{InstanceIDs: []string{}}
	for _, next := range c.machines.sorted() {
		if !isTaken(next.instance, request) {
			continue
		}
		result.InstanceIDs = append(result.InstanceIDs, next.instance.ID)
		c.take(next, request, wait)
	}
	call.ReplyJSON(http.StatusOK, result)
}

func (c *Cloud) take(next *machine, request NoticeRequest, wait time.Duration) {
	if request.Silent {
		c.machines.end(next)
		return
	}
	c.machines.leave(next, wait)
	c.announcer.announce(next.instance.ID, next.instance.Ends)
}

// instances lists all instances as they are now.
func (c *Cloud) instances() InstanceList {
	list := InstanceList{Instances: []fleet.Instance{}}
	for _, next := range c.machines.sorted() {
		list.Instances = append(list.Instances, next.instance)
	}
	return list
}

func isTaken(instance fleet.Instance, request NoticeRequest) bool {
	if instance.State == fleet.Gone || (!instance.Reclaimable && !request.Silent) {
		return false
	}
	return (request.InstanceID != "" && instance.ID == request.InstanceID) ||
		(request.FailureDomain != "" && instance.FailureDomain == request.FailureDomain)
}

func (c *Cloud) setCapacity(call *host.Call) {
	var limit Capacity
	if !call.Decode(&limit) {
		return
	}
	for i, old := range c.capacities {
		if old.FailureDomain == limit.FailureDomain && old.MachineClass == limit.MachineClass {
			c.capacities[i] = &limit
			call.ReplyJSON(http.StatusOK, limit)
			return
		}
	}
	c.capacities = append(c.capacities, &limit)
	call.ReplyJSON(http.StatusOK, limit)
}

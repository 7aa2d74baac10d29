package controller

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/cloud"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
	"github.com/sycamorecourse/sycamorecourse/serving/reclaim"
)

// noticeWait is how long a call for notices waits at the cloud when there are
// none.
const noticeWait = 20 * time.Second

// cloudClient adapts the client of the cloud API. It implements Cloud.
type cloudClient struct {
	client *cloud.Client
}

// Instances implements Cloud.
func (c *cloudClient) Instances(done func([]fleet.Instance, error)) {
	c.client.List(done)
}

// Prices implements Cloud.
func (c *cloudClient) Prices(done func(price.List, error)) {
	c.client.Prices(func(offers []cloud.Offer, err error) {
		list := make(price.List, 0, len(offers))
		for _, o := range offers {
			list = append(list, price.Offer(o))
		}
		done(list, err)
	})
}

// Notices implements Cloud.
func (c *cloudClient) Notices(cursor uint64, done func(Notices, error)) {
	c.client.Notices(cursor, noticeWait, func(found cloud.Notices, err error) {
		n := Notices{Cursor: cursor}
		for _, notice := range found.Notices {
			n.List = append(n.List, reclaim.Notice{Instance: notice.InstanceID, Ends: notice.Deadline})
			n.Cursor = max(n.Cursor, notice.Seq)
		}
		done(n, err)
	})
}

// Start implements Cloud.
func (c *cloudClient) Start(request StartRequest, done func(fleet.Instance, error)) {
	call := cloud.StartRequest{
		ClientToken:   request.Token,
		MachineClass:  request.Option.MachineClass,
		FailureDomain: request.Option.FailureDomain,
		Reclaimable:   request.Option.Reclaimable,
		Member:        request.Member,
		Pool:          request.Pool,
	}
	c.client.Start(call, func(i fleet.Instance, err error) {
		var full *cloud.CapacityError
		var refused *cloud.RefusedError
		if errors.As(err, &full) || errors.As(err, &refused) {
			err = &StartRefusedError{Err: err}
		}
		done(i, err)
	})
}

// End implements Cloud.
func (c *cloudClient) End(instance string, done func(error)) {
	c.client.End(instance, func(err error) {
		var gone *platform.NotFoundError
		if errors.As(err, &gone) {
			err = nil
		}
		done(err)
	})
}

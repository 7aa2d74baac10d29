package site

import "github.com/sycamorecourse/sycamorecourse/standin/cloud"

// upstream is the stand-in on an instance. It implements cloud.Upstream.
type upstream struct {
	*running
	address string
}

var _ cloud.Upstream = (*upstream)(nil)

// Address implements cloud.Upstream.
func (u *upstream) Address() string { return u.address }

// Stop implements cloud.Upstream. The cloud has no use for the error of a duty
// that had ended by itself.
func (u *upstream) Stop() { _ = u.stop() }

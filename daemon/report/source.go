package report

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// Source is a duty that gives a section of the dump. It offers the request to
// the duty's own inbox and returns; the duty offers its Section to reply.
type Source func(reply *ring.Ring[Section]) error

package report

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// Source requests a section of the dump from a duty. It offers the request to
// the inbox of the duty and returns; the duty later offers its Section to
// reply.
type Source func(reply *ring.Ring[Section]) error

package link

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// outboundRings maps the ID of a peer to its outbound ring. A published map is
// never modified: the links thread replaces it as a whole.
type outboundRings map[string]*ring.Ring[wire.Message]

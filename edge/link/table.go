package link

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/wire"
)

// table maps the identity of a peer to its outbound ring. It is never changed
// once published: the links duty replaces it as a whole.
type table map[string]*ring.Ring[wire.Message]

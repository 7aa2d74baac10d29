package site

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/objects"
	"github.com/sycamorecourse/sycamorecourse/standin/service"
	"github.com/sycamorecourse/sycamorecourse/standin/table"
	"github.com/sycamorecourse/sycamorecourse/standin/weights"
)

// Config sets up a Site. The addresses in its parts are not used.
type Config struct {
	// Address is the IP and port of the table service. The object store, the
	// cloud and the weight store take the next ports. Port 0 takes any free
	// ports. Upstreams always take free ports.
	Address string
	// Members are the members whose pools run.
	Members []Member
	// Table sets up the table service.
	Table table.Config
	// Objects sets up the object store.
	Objects objects.Config
	// Weights sets up the weight store.
	Weights weights.Config
	// Engine sets up each engine; its models come from the pool.
	Engine engine.Config
	// Service sets up each plain service.
	Service service.Config
	// StartEmpty starts the engines of new instances without models, until
	// they are ordered. Those of the first instances have theirs.
	StartEmpty bool
	// BootTime is the time from the start of an instance until it is live.
	BootTime time.Duration
	// ListLag is how old the list of instances is.
	ListLag time.Duration
	// CloudCallsPerSecond limits the calls to the cloud; 0 is no limit.
	CloudCallsPerSecond float64
}

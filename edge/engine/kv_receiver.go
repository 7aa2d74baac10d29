package engine

import "github.com/sycamorecourse/sycamorecourse/serving/dispatch"

// KVReceiver takes the outcome of an export or import of KV cache. One of its
// methods is called, once, on a thread that must not be held up.
type KVReceiver interface {
	// Exported gives the cache of an attempt that was stopped.
	Exported(cache []byte)
	// Imported gives the upstream's handle for a cache.
	Imported(handle string)
	// KVFailed says that there is neither.
	KVFailed(failure dispatch.Failure)
}

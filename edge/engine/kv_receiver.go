package engine

import "github.com/sycamorecourse/sycamorecourse/serving/dispatch"

// KVReceiver receives the result of an export or import of a KV cache. Exactly one
// of its methods is called, once. It runs on a thread of the HTTP client and must
// not block.
type KVReceiver interface {
	// Exported delivers the cache of an attempt that was stopped.
	Exported(cache []byte)
	// Imported delivers the upstream's handle for the imported cache.
	Imported(handle string)
	// KVFailed reports that the export or import failed.
	KVFailed(failure dispatch.Failure)
}

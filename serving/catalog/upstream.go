package catalog

// Upstream is a process that runs the requests of a service.
type Upstream struct {
	// ID is the unique ID. A process that restarts may keep it.
	ID string
	// Service names the service.
	Service string
	// Address is the IP and port. Another upstream may get the address later.
	Address string
	// FailureDomain is where the process runs.
	FailureDomain string
	// Slots is the number of requests that run concurrently.
	Slots int
	// Draining is true if the upstream gets no new requests.
	Draining bool
	// Reclaimable is true if the provider may take the instance away.
	Reclaimable bool
	// Version is the version of its software; empty if unknown.
	Version string
	// IsCold is true while the upstream is slow after its start.
	IsCold bool
	// StartedAtMillis is the start time in Unix milliseconds; 0 if unknown. A later
	// time under the same ID means that the process has restarted and lost its
	// state.
	StartedAtMillis int64
}

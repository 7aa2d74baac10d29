// Package operator writes to the row store (package rowstore) as the operators
// and the upstreams of the users' platform do: the configuration, and the entry
// of each upstream. The raw variants write malformed rows for tests of how the
// gateway rejects them.
package operator

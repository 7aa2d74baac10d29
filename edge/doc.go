// Package edge is the root of the encodings: callers, upstreams, platform,
// cloud, operators, and the links between the system's processes. It decides
// nothing.
package edge

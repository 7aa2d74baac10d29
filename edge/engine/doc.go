// Package engine is the encoding of calls to upstreams: model engines, whose
// answers are streams of tokens, and plain services.
package engine

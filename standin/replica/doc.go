// Package replica is a stand-in for the users' upstreams, both model engines and
// plain services. It answers with a stream of events or with a whole response,
// and records every request that it runs. Responses to those carry the field
// Response-Seal, which stands for the signature of an upstream.
package replica

// Package engine encodes HTTP calls to upstreams and decodes their answers.
//
// An upstream is a model engine, which streams tokens as server-sent events and
// can export and import the KV cache of a request, or a plain service, whose
// reply is delivered in one call. Answers go to a Receiver or a KVReceiver.
package engine

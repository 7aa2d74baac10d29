// Package engine encodes HTTP calls to upstreams and decodes their answers.
//
// An upstream is a model engine, which streams tokens as server-sent events and
// can export and import the KV cache of a request, or a plain service, whose
// reply is delivered in one call. Answers go to a Receiver or a KVReceiver.
//
// Answers do not name their call, and an upstream may send one again, late. So each
// call whose answer is used is exclusive: it has a connection of its own. Load reports
// and cancellations share connections: the answer to a cancellation is ignored, and a
// load report says when it was measured, so that an older one has no effect.
package engine

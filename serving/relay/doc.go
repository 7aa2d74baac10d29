// Package relay decides how a gateway proxies requests that it passes on
// unchanged: which upstream gets each request, which requests are retried,
// moved to another upstream, refused or canceled. Package limit counts how much each
// customer may send. It does no I/O, reads no clock and knows no wire format.
//
// A Core is owned by one thread, which reports each event by a method call and
// then carries out the actions that [Core.Actions] returns.
//
// A request goes to the upstream with the lowest predicted time to the first
// event. The prediction adds up the time to read the part of the prompt that
// the upstream is not believed to have cached, and the recent queueing delay
// there.
//
// # Invariants
//
//   - A request is refused as not run only if each of its attempts either was
//     rejected as not run by the upstream or failed before a byte was sent.
//   - A request that may not be repeated is sent again only under the same
//     condition.
//   - Each request gets one final action, Reply, EndStream, Refuse or Abort, or
//     none if its caller has disconnected.
//   - The numbered events of a stream are passed on in order, each once.
package relay

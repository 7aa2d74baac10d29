// Package relay decides what becomes of requests that are passed on as they
// are: to which upstream each goes, what is tried again, what is refused, and
// when an answer is given up. It knows neither networks nor encodings.
//
// A Core is told what happens and returns the actions that its owner carries
// out. One thread owns it.
//
// # Invariants
//
//   - After a Send, a request is refused as not run only if the upstream said so
//     or no byte had left.
//   - A request that may not be repeated is sent again only after such a word.
//   - Each request gets one final action: Reply, Finish, Refuse or Abort.
//   - Events of a stream pass in the order of their numbers, each once.
package relay

// Package limit enforces customers' limits over all gateways together. It does no
// I/O, reads no clock and knows no wire format.
//
// Each gateway publishes what its customers have used, and what it may use beyond
// that: a reserve, and a pace at which more becomes available. A gateway keeps to
// every reserve and pace that it has published lately, whichever of them the others
// know. So at any moment each gateway has an upper bound of what all of them have
// used, and admits a request only while that bound stays below the ceiling of the
// limit. The bound does not depend on how fast news travels: old news makes it
// higher.
//
// The reserves of a small customer would be smaller than a request if every gateway
// had one. So only some gateways, the holders, admit requests of a customer by
// themselves, as many as have room for a request. The others ask a holder, which
// counts the request as its own use. Nothing is lost if an answer is: what was granted
// counts as used.
//
// A gateway that does not know what the others use keeps to an even share of the
// limit, and the others allow for that share.
package limit

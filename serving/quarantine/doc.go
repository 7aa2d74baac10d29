// Package quarantine finds the parts of prompts that crash the engines that answer
// them ("queries of death"), from the crashes and successes of all gateways.
//
// A crash is evidence against each shared part of the prompts whose answers were
// just starting at the engine. A success clears all parts of its prompt. A part is
// quarantined when it was there at several crashes without a success since, while
// other prompts of the service succeed, so that chance does not explain it. Crashes
// that a quarantined part explains don't count against others.
//
// Evidence of several gateways is merged: crashes by union, the other facts by the
// latest. Merging is idempotent and independent of the order, so that evidence may
// arrive late, repeatedly, or by way of other gateways. A gateway that starts anew
// gets it from the others' records and its own former one.
package quarantine

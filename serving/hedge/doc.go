// Package hedge decides when a request whose first attempt is slow gets a second,
// concurrent attempt.
package hedge

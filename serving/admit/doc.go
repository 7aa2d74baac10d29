// Package admit decides which requests are taken, and in which order they are
// dispatched.
package admit

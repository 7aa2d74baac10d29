// Package fetch makes whole HTTP calls, one at a time, for proofs that read
// and set the state of processes and stand-ins.
package fetch

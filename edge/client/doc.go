// Package client is for programs that use the system: it asks which addresses
// to use, keeps the answer for as long as it is told, sends requests, checks
// that answers are whole, and resumes them by their key at any gateway.
//
// It never sends again what may have run, unless the request is idempotent.
package client

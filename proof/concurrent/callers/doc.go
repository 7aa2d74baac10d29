// Package callers runs callers of the system in the background. Each has its
// own client and its own seed, and keeps a record of every submission.
package callers

// Package thread runs the duties of a process, each on its own operating
// system thread, and reports why a duty ended.
package thread

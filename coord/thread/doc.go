// Package thread runs the duties of a process and reports why each ended. A duty
// is a long-running function that has an operating system thread of its own.
package thread

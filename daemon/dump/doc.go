// Package dump holds the sections of an entry gateway's state dump.
package dump

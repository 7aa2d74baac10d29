// Package coord is the root of the coordination library: parts that keep a
// distributed system correct while its processes stop, pause and lose
// messages. It knows no HTTP, no model engine and no daemon.
package coord

// Package coord is the root of the coordination library. Its packages keep a
// distributed system correct while processes stop, pause and lose messages. They
// do not depend on HTTP, on model engines or on the daemons.
package coord

// Package platform defines the errors that the clients of the platform share. The
// clients are its subpackages: table, objects, weights and cloud.
//
// The clients are asynchronous: a method starts a call and returns at once. Its
// callback runs on a thread of the network library, or on the calling thread if
// the call can't be started. A callback must not block and should only pass its
// result on through a ring.
package platform

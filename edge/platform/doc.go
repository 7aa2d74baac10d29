// Package platform is the root of the clients of the platform: the table
// service, the object store, the weight store and the cloud.
//
// A client starts a call and returns at once. Its callbacks run on threads of
// the network library, or on the calling thread when the call can't be
// started: they must not block and should only offer to a ring.
package platform

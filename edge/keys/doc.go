// Package keys issues and loads the X.509 certificates with which the gateways
// and controllers authenticate each other.
//
// One certificate authority signs a certificate for each process. The identity
// of the process is a URI in that certificate: sycamore://ROLE/INSTANCE.
package keys

// Package site runs stand-ins of the whole platform in one process: table
// service, object store, weight store and cloud, and on the cloud's instances
// model engines and plain services.
package site

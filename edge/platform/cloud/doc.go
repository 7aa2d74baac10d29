// Package cloud is the client of the cloud API: instances, reclaim notices and
// prices.
package cloud

// Package cloud is a stand-in of the cloud API: reclaimable and on-demand
// instances, a lagging list of them, reclaim notices and prices.
package cloud

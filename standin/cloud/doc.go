// Package cloud is a stand-in for a cloud provider's instance API: reclaimable
// and on-demand instances, reclaim notices and prices. The list of instances
// lags behind, as that of an eventually consistent API does.
package cloud

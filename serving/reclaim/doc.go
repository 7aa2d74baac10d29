// Package reclaim tracks the instances of the cloud from three sources: the
// cloud's list of instances, which lags behind, its reclaim notices, and the
// starts and ends that the controllers made themselves. It also detects when the
// cloud reclaims a failure domain as a whole.
package reclaim

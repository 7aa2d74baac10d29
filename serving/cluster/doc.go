// Package cluster shares state among the gateways through rows of the
// platform's store: which gateways serve, at which address, how many requests
// each has counted, and the load and customer demand on each.
//
// Each gateway writes one [Record] at every heartbeat and then reads the records
// of all gateways into its [View]. A gateway is live while its record keeps
// changing. A reader measures the time without a change on its own monotonic
// clock and only counts time in which its reads succeed, so an outage of the
// store makes no gateway look dead.
package cluster

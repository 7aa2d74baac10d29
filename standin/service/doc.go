// Package service is a stand-in for a plain service behind the gateway. It runs
// every call and counts the runs of each request key, so that tests can find
// calls that ran more than once or not at all.
package service

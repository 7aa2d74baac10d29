// Package service is a stand-in of a plain service: it runs every call and
// keeps count of the runs of each request key.
package service

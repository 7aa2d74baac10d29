// Package orders is the HTTP client with which controllers send orders to model
// engines and read the state that engines report.
package orders

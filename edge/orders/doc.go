// Package orders encodes the orders that controllers give to model engines, and
// the state that engines report.
package orders

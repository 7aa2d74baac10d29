// Package weights is the client of the weight store.
package weights

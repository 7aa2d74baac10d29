// Package weights is a stand-in of the weight store, which limits the rate at
// which weights are read.
package weights

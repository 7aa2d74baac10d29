// Package weights is a stand-in for a store of model weights that limits the rate
// of reads. All readers share the rate, so reads take longer when many instances
// start at once. Instead of the weights, a read returns a small manifest after the
// time that the weights would take.
package weights

// Package standin is the root of the project's small stand-ins of the outside
// systems, with switches for their faults. They serve a first try, the
// scenarios and the benchmarks.
package standin

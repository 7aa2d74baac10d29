// Package standin is the root of the stand-ins: small servers that replace the
// external systems of the project, with switches to inject their faults. First
// trials, the scenarios and the benchmarks run against them.
package standin

// Package measure prints figures of the gateway beside the same load sent
// straight to the stand-ins. Its tests run with SYCAMORE_MEASURE=1 only: they
// print and hold nothing against a threshold.
package measure

// Package row describes rows of the platform's table service and conditional
// changes to them, independent of how they are sent.
package row

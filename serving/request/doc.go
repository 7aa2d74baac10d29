// Package request describes a request, its answer and its outcome.
package request

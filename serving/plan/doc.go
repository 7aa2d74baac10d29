// Package plan decides what an intent would change and cost, and whether a
// plan may still be confirmed.
package plan

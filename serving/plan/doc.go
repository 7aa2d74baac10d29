// Package plan computes what an intent would change and cost, and checks
// whether a plan may still be confirmed.
//
// Make computes a plan against the configuration in force. CheckConfirm rejects
// one that was altered, was made against another version, has expired or exceeds
// a budget, and Apply returns the configuration that confirming it gives. A plan
// never changes: its ID and digest are derived from its content.
package plan

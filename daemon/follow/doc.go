// Package follow runs the follow duty, which keeps the state that all processes
// of a cluster share: the newest confirmed configuration, the fleet and the
// members. It exchanges this state with the linked processes and delivers
// changes to its owner, the rest of the same process.
//
// The decisions are made by spread.Node. This package passes it events and the
// time, and executes the actions that it returns.
package follow

// Package admit is the admission queue of a gateway: it decides which requests
// are accepted and in which order they are dispatched to upstreams.
//
// An entry is refused when its customer is at a rate or concurrency limit, when
// it is predicted to miss its deadline, or when the queue is full and its
// customer already has the largest backlog for its share. Within a pool,
// customers share the capacity by weighted fair queueing; among customers that
// are not too far ahead of their share, the entry with the highest priority and
// then the earliest latest start goes first. An entry that can no longer meet
// its deadline is dropped.
//
// No entry is lost: each one that Admit or Requeue adds leaves the queue exactly
// once, by Next, Remove or DropExpired.
package admit

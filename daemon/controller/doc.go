// Package controller implements the controller process. It serves the operators'
// API, makes and confirms plans, starts and ends cloud instances, and sends
// orders to engines, all within the agreed budget.
//
// Each duty runs on a thread of its own, owns its state and exchanges messages
// with the others over bounded rings:
//
//   - operators decodes the operators' requests and encodes the responses.
//   - planner makes plans and responds to a confirmation once all processes have
//     the new version.
//   - store reads and writes plans and the chain of configurations in the table
//     service.
//   - rollout forwards reports of which processes have a version to the planner.
//   - fleet reads instances, prices and reclaim notices from the cloud. Under the
//     fleet lease it also reconciles the pools with the configuration.
//   - orders reads the state of engines and sends them orders, under the same
//     lease.
//
// # Invariants
//
//   - Any controller can make and confirm plans. The condition on the head row of
//     the chain decides between concurrent confirmations.
//   - Only the holder of the fleet lease starts and ends instances, writes
//     ledgers and sends orders. It checks the lease right before each of these.
//   - A start or end is saved in the pool's ledger before the cloud is called. A
//     start carries a token that makes the call idempotent, so the next holder
//     continues where the previous one stopped.
//   - A new holder writes the fence row before it reads the ledgers, and every
//     ledger write checks that row, so no late write by the previous holder takes
//     effect.
//   - An instance is ordered only if its price fits the held slices of the total
//     budget and the member's budget. While the outcome of a ledger write is
//     unknown, the pool counts at the higher cost.
//   - A ring slot for the result is reserved before each asynchronous call, so a
//     result is never dropped. Updates sent without a reserved slot may be
//     dropped when a ring is full; a later one or a deadline makes up for it.
package controller

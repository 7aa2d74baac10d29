package admit

import "slices"

// account returns the account of a customer, and creates it if there is none.
func (q *Queue) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{customer: Customer{Name: name}, flows: make(map[string]*flow)}
		q.accounts[name] = a
	}
	return a
}

// flow returns the flow of a customer for a pool, and creates it if there is
// none.
func (q *Queue) flow(a *account, pool string) *flow {
	f := a.flows[pool]
	if f == nil {
		p := q.pool(pool)
		q.pruneIdleFlows(p)
		f = newFlow(a, p)
		a.flows[pool] = f
		p.add(f)
	}
	return f
}

// pool returns the queue of a pool, and creates it if there is none.
func (q *Queue) pool(pool string) *poolQueue {
	p := q.pools[pool]
	if p == nil {
		p = &poolQueue{name: pool}
		q.pools[pool] = p
		q.rotation = append(q.rotation, p)
	}
	return p
}

// pruneFlow removes a flow if it is idle, or the whole pool if that is. An empty
// flow that is ahead of its share is kept while the pool is in use: removing it
// would let the customer start again without that lead.
func (q *Queue) pruneFlow(f *flow) {
	p := f.pool
	if p.isIdle() {
		q.removePool(p)
		return
	}
	if f.isIdle() {
		q.removeFlow(f)
	}
}

// removePool removes a pool without entries, with all its flows.
func (q *Queue) removePool(p *poolQueue) {
	for len(p.flows) > 0 {
		q.removeFlow(p.flows[0])
	}
	delete(q.pools, p.name)
	q.rotation = slices.DeleteFunc(q.rotation, func(m *poolQueue) bool { return m == p })
}

// pruneIdleFlows removes the idle flows of a pool.
func (q *Queue) pruneIdleFlows(p *poolQueue) {
	for i := len(p.flows) - 1; i >= 0; i-- {
		if p.flows[i].isIdle() {
			q.removeFlow(p.flows[i])
		}
	}
}

func (q *Queue) removeFlow(f *flow) {
	f.pool.remove(f)
	delete(f.account.flows, f.pool.name)
	q.pruneAccount(f.account.customer.Name)
}

// pruneAccount removes an account that is not configured, has no flows and has
// no entries in progress.
func (q *Queue) pruneAccount(name string) {
	a := q.accounts[name]
	if a != nil && !a.configured && len(a.flows) == 0 && a.inProgress == 0 {
		delete(q.accounts, name)
	}
}

package admit

import "slices"

// account returns the account of a customer, a new one if it is not known.
func (q *Queue) account(name string) *account {
	a := q.accounts[name]
	if a == nil {
		a = &account{customer: Customer{Name: name}, flows: make(map[string]*flow)}
		q.accounts[name] = a
	}
	return a
}

// flow returns the flow of a customer to a pool, a new one if there is none.
func (q *Queue) flow(a *account, pool string) *flow {
	f := a.flows[pool]
	if f == nil {
		l := q.line(pool)
		q.sweep(l)
		f = newFlow(a, l)
		a.flows[pool] = f
		l.add(f)
	}
	return f
}

func (q *Queue) line(pool string) *line {
	l := q.lines[pool]
	if l == nil {
		l = &line{pool: pool}
		q.lines[pool] = l
		q.rotation = append(q.rotation, l)
	}
	return l
}

// forgetFlow frees a flow of which nothing needs to be remembered. An empty
// flow is remembered while it is ahead of its share and others wait.
func (q *Queue) forgetFlow(f *flow) {
	l := f.line
	if l.isIdle() {
		q.forgetLine(l)
		return
	}
	if f.isIdle() {
		q.freeFlow(f)
	}
}

// forgetLine frees a line without entries, with all its flows.
func (q *Queue) forgetLine(l *line) {
	for len(l.flows) > 0 {
		q.freeFlow(l.flows[0])
	}
	delete(q.lines, l.pool)
	q.rotation = slices.DeleteFunc(q.rotation, func(m *line) bool { return m == l })
}

// sweep frees the idle flows of a line.
func (q *Queue) sweep(l *line) {
	for i := len(l.flows) - 1; i >= 0; i-- {
		if l.flows[i].isIdle() {
			q.freeFlow(l.flows[i])
		}
	}
}

func (q *Queue) freeFlow(f *flow) {
	f.line.remove(f)
	delete(f.account.flows, f.line.pool)
	q.forgetAccount(f.account.customer.Name)
}

// forgetAccount frees an account that is not configured and has no flows.
func (q *Queue) forgetAccount(name string) {
	a := q.accounts[name]
	if a != nil && !a.configured && len(a.flows) == 0 && a.inProgress == 0 {
		delete(q.accounts, name)
	}
}

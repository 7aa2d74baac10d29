package thread

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// Group is the fixed set of duties of one process. The zero value is not usable:
// call NewGroup. One thread starts the duties and waits for them.
type Group struct {
	threads []*Thread
	ended   *ring.Ring[Ended]
}

// NewGroup makes an empty group for at most capacity duties.
func NewGroup(capacity int) *Group {
	return &Group{ended: ring.New[Ended]("ended", capacity)}
}

// Start runs a duty in the group.
func (g *Group) Start(name string, duty func() error) {
	t := Start(name, func() (err error) {
		defer func() {
			if v := recover(); v != nil {
				err = &PanicError{Duty: name, Value: v}
				_ = g.ended.Offer(Ended{Duty: name, Err: err})
				panic(v) // Thread recovers it again and adds the stack
			}
			_ = g.ended.Offer(Ended{Duty: name, Err: err})
		}()
		return duty()
	})
	g.threads = append(g.threads, t)
}

// WaitAny blocks until a duty of the group ends and returns which. Each end is
// returned once.
func (g *Group) WaitAny() (Ended, error) {
	return g.ended.Take()
}

// Join waits for all duties to end. It returns the error of the duty that was
// started first among those that failed.
func (g *Group) Join() error {
	var first error
	for _, t := range g.threads {
		if err := t.Join(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Status returns the state of all duties, in the order of their start.
func (g *Group) Status() []Status {
	list := make([]Status, 0, len(g.threads))
	for _, t := range g.threads {
		list = append(list, Status{Duty: t.name, Alive: t.IsAlive()})
	}
	return list
}

package place

import (
	"fmt"
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// Ledger records the instances of one pool that are paid for. It is written
// before an instance is started or ended, in one row and conditional on its
// version, so:
//
//   - a controller that dies leaves a ledger from which the next one repeats
//     each start with the same token and each end with the same ID;
//   - a controller that has lost its lease can start nothing that is not in the
//     ledger;
//   - the sum of the holdings is never less than what is paid for.
type Ledger struct {
	// Holdings are the instances.
	Holdings []Holding `json:"holdings"`
}

// Clone returns a copy that can be changed.
func (l *Ledger) Clone() *Ledger {
	return &Ledger{Holdings: slices.Clone(l.Holdings)}
}

// MicrosPerHour returns the price of all holdings.
func (l *Ledger) MicrosPerHour() int64 {
	var sum int64
	for _, h := range l.Holdings {
		sum += h.MicrosPerHour
	}
	return sum
}

// Order adds an instance to be started. Its token is derived from the row: no
// other write makes the same version.
func (l *Ledger) Order(key string, version uint64, o price.Offer) {
	token := fmt.Sprintf("%s/%d/%d", key, version, len(l.Holdings))
	l.Holdings = append(l.Holdings, Holding{
		Token:         token,
		Option:        Option{FailureDomain: o.FailureDomain, MachineClass: o.MachineClass, Reclaimable: o.Reclaimable},
		MicrosPerHour: o.MicrosPerHour,
		State:         Ordered,
	})
}

// Start notes the answer to a start.
func (l *Ledger) Start(token, instance string) {
	if h := l.byToken(token); h != nil && h.State == Ordered {
		h.State, h.Instance = Started, instance
	}
}

// Refuse removes an instance whose start was refused.
func (l *Ledger) Refuse(token string) {
	l.Holdings = slices.DeleteFunc(l.Holdings, func(h Holding) bool {
		return h.Token == token && h.State == Ordered
	})
}

// End marks an instance to be ended from a given time on.
func (l *Ledger) End(instance string, at time.Time) {
	for i := range l.Holdings {
		if h := &l.Holdings[i]; h.Instance == instance && h.State == Started {
			h.State, h.EndAt = Ending, at
		}
	}
}

// Remove takes out an instance that is gone.
func (l *Ledger) Remove(instance string) {
	l.Holdings = slices.DeleteFunc(l.Holdings, func(h Holding) bool {
		return h.Instance == instance && h.State != Ordered
	})
}

// Adopt adds the instances of a pool that are listed but not held, such as
// those started before the ledger. It returns whether there were any.
func (l *Ledger) Adopt(instances []fleet.Instance) bool {
	known := make(map[string]bool, len(l.Holdings))
	for _, h := range l.Holdings {
		if h.State == Ordered {
			// A listed instance may be the unanswered start.
			return false
		}
		known[h.Instance] = true
	}
	adopted := false
	for _, i := range instances {
		if known[i.ID] || i.State == fleet.Gone {
			continue
		}
		adopted = true
		l.Holdings = append(l.Holdings, Holding{
			Token:         "adopted/" + i.ID,
			Option:        OptionOf(i),
			MicrosPerHour: i.MicrosPerHour,
			State:         Started,
			Instance:      i.ID,
		})
	}
	return adopted
}

// Ordered lists the holdings whose start has no answer yet.
func (l *Ledger) Ordered() []Holding {
	return l.in(Ordered)
}

// Due lists the holdings that may be ended now.
func (l *Ledger) Due(now time.Time) []Holding {
	return slices.DeleteFunc(l.in(Ending), func(h Holding) bool { return h.EndAt.After(now) })
}

// Ending lists the holdings that are being ended.
func (l *Ledger) Ending() []Holding {
	return l.in(Ending)
}

// Gone lists the instances that are held but in none of the given lists.
func (l *Ledger) Gone(instances []fleet.Instance) []string {
	present := make(map[string]bool, len(instances))
	for _, i := range instances {
		present[i.ID] = true
	}
	var gone []string
	for _, h := range l.Holdings {
		if h.State != Ordered && !present[h.Instance] {
			gone = append(gone, h.Instance)
		}
	}
	return gone
}

func (l *Ledger) in(state HoldingState) []Holding {
	var list []Holding
	for _, h := range l.Holdings {
		if h.State == state {
			list = append(list, h)
		}
	}
	return list
}

func (l *Ledger) byToken(token string) *Holding {
	for i := range l.Holdings {
		if l.Holdings[i].Token == token {
			return &l.Holdings[i]
		}
	}
	return nil
}

// Equal reports whether two ledgers hold the same.
func (l *Ledger) Equal(other *Ledger) bool {
	return slices.EqualFunc(l.Holdings, other.Holdings, func(a, b Holding) bool {
		sameEnd := a.EndAt.Equal(b.EndAt)
		a.EndAt, b.EndAt = time.Time{}, time.Time{}
		return a == b && sameEnd
	})
}

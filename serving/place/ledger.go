package place

import (
	"fmt"
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// Ledger records the instances of one pool that are paid for. It is stored in
// one row, which is written before an instance is started or ended and only if
// the row's version is the one read. Therefore:
//
//   - a controller that fails leaves a ledger from which the next one repeats
//     each start with the same token and each end with the same ID;
//   - a controller that has lost its lease can't start an instance that is not
//     in the ledger;
//   - the holdings cost at least what is paid for.
type Ledger struct {
	// Holdings are the instances, started or not.
	Holdings []Holding `json:"holdings"`
}

// Clone returns an independent copy.
func (l *Ledger) Clone() *Ledger {
	return &Ledger{Holdings: slices.Clone(l.Holdings)}
}

// MicrosPerHour returns the total price of the holdings.
func (l *Ledger) MicrosPerHour() int64 {
	var sum int64
	for _, h := range l.Holdings {
		sum += h.MicrosPerHour
	}
	return sum
}

// AddOrdered adds an instance to be started. Its token consists of the row's key
// and version and the index of the holding. It is unique, as only one write can
// follow a version.
func (l *Ledger) AddOrdered(key string, version uint64, o price.Offer) {
	token := fmt.Sprintf("%s/%d/%d", key, version, len(l.Holdings))
	l.Holdings = append(l.Holdings, Holding{
		Token:         token,
		Option:        Option{FailureDomain: o.FailureDomain, MachineClass: o.MachineClass, Reclaimable: o.Reclaimable},
		MicrosPerHour: o.MicrosPerHour,
		State:         Ordered,
	})
}

// MarkStarted records that the cloud accepted a start.
func (l *Ledger) MarkStarted(token, instance string) {
	if h := l.byToken(token); h != nil && h.State == Ordered {
		h.State, h.Instance = Started, instance
	}
}

// RemoveRefused removes an instance whose start was refused.
func (l *Ledger) RemoveRefused(token string) {
	l.Holdings = slices.DeleteFunc(l.Holdings, func(h Holding) bool {
		return h.Token == token && h.State == Ordered
	})
}

// MarkEnding records that an instance is to be ended from a given time on.
func (l *Ledger) MarkEnding(instance string, at time.Time) {
	for i := range l.Holdings {
		if h := &l.Holdings[i]; h.Instance == instance && h.State == Started {
			h.State, h.EndAt = Ending, at
		}
	}
}

// Remove removes an instance that no longer exists.
func (l *Ledger) Remove(instance string) {
	l.Holdings = slices.DeleteFunc(l.Holdings, func(h Holding) bool {
		return h.Instance == instance && h.State != Ordered
	})
}

// Adopt adds the listed instances of the pool that the ledger doesn't hold, such
// as those started before there was a ledger. It reports whether it added any.
// While a start has no answer it adds none.
func (l *Ledger) Adopt(instances []fleet.Instance) bool {
	known := make(map[string]bool, len(l.Holdings))
	for _, h := range l.Holdings {
		if h.State == Ordered {
			// A listed instance may come from the unanswered start.
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

// Ordered returns the holdings whose start has no answer yet.
func (l *Ledger) Ordered() []Holding {
	return l.inState(Ordered)
}

// DueToEnd returns the holdings in state Ending whose EndAt has come.
func (l *Ledger) DueToEnd(now time.Time) []Holding {
	return slices.DeleteFunc(l.inState(Ending), func(h Holding) bool { return h.EndAt.After(now) })
}

// Ending returns the holdings in state Ending.
func (l *Ledger) Ending() []Holding {
	return l.inState(Ending)
}

// Missing returns the IDs of the held instances that are not among the given
// ones.
func (l *Ledger) Missing(instances []fleet.Instance) []string {
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

func (l *Ledger) inState(state HoldingState) []Holding {
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

// Equal reports whether two ledgers have the same holdings in the same order.
func (l *Ledger) Equal(other *Ledger) bool {
	return slices.EqualFunc(l.Holdings, other.Holdings, func(a, b Holding) bool {
		sameEnd := a.EndAt.Equal(b.EndAt)
		a.EndAt, b.EndAt = time.Time{}, time.Time{}
		return a == b && sameEnd
	})
}

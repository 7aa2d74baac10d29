package quota

import (
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

const partition = "quota"

// RowKey returns the key of the row that holds the ledger of a limit.
func RowKey(limit string) row.Key {
	return row.Key{Partition: partition, Sort: limit}
}

// Ledger is the value of the row of a limit.
type Ledger struct {
	// Total is the amount that is divided into grants.
	Total uint64 `cbor:"1,keyasint"`
	// ConfigurationVersion is the version of the configuration that set Total.
	ConfigurationVersion uint64 `cbor:"2,keyasint"`
	// Sequence is the number of writes of the ledger.
	Sequence uint64 `cbor:"3,keyasint"`
	// Grants includes expired grants until a holder that renews removes them.
	Grants []Grant `cbor:"4,keyasint"`
}

// DecodeLedger decodes the ledger in a row, which may be absent.
func DecodeLedger(r row.Row) (Ledger, error) {
	var ledger Ledger
	if r.Version == 0 {
		return ledger, nil
	}
	err := codec.Decode(r.Value, &ledger)
	return ledger, err
}

// Granted returns the sum of the grants. It exceeds Total only after Total was
// lowered, and can then only fall.
func (l Ledger) Granted() uint64 {
	sum := uint64(0)
	for _, g := range l.Grants {
		sum += g.Amount
	}
	return sum
}

// Grant returns the grant of a holder. It returns false if there is none.
func (l Ledger) Grant(holder lease.Holder) (Grant, bool) {
	i := slices.IndexFunc(l.Grants, func(g Grant) bool { return g.Holder == holder })
	if i < 0 {
		return Grant{}, false
	}
	return l.Grants[i], true
}

// without returns the ledger without the grants of the holders that drop selects.
func (l Ledger) without(drop func(lease.Holder) bool) Ledger {
	l.Grants = slices.DeleteFunc(slices.Clone(l.Grants), func(g Grant) bool {
		return drop(g.Holder)
	})
	return l
}

// fairShare returns the fair share of a demand among the demands of the grants.
// The ledger must not contain a grant of the same holder.
func (l Ledger) fairShare(own Demand) uint64 {
	demands := []Demand{own}
	for _, g := range l.Grants {
		demands = append(demands, g.Demand)
	}
	return Share(l.Total, demands)[0]
}

// free returns the part of the total that is not granted.
func (l Ledger) free() uint64 {
	granted := l.Granted()
	if granted >= l.Total {
		return 0
	}
	return l.Total - granted
}

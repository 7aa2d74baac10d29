package spread

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is the entry of one process in the list of members.
type Member struct {
	// ID is the unique name of the process, of the form ROLE/INSTANCE.
	ID string `json:"id" cbor:"1,keyasint"`
	// Role is gateway or controller.
	Role string `json:"role" cbor:"2,keyasint"`
	// Region is the region of the failure domain.
	Region string `json:"region" cbor:"3,keyasint"`
	// FailureDomain is the failure domain that the process runs in.
	FailureDomain string `json:"failure_domain" cbor:"4,keyasint"`
	// PublicAddress is where clients reach a gateway; empty for a controller.
	PublicAddress string `json:"public_address" cbor:"5,keyasint"`
	// LinkAddress is where other members reach the process.
	LinkAddress string `json:"link_address" cbor:"6,keyasint"`
	// Incarnation increases with each start of the process.
	Incarnation uint64 `json:"incarnation" cbor:"7,keyasint"`
	// Sequence increases each time the process refutes a claim of others about
	// it, such as that it is gone.
	Sequence uint64 `json:"sequence" cbor:"8,keyasint"`
	// State is the lifecycle state of the process.
	State MemberState `json:"state" cbor:"9,keyasint"`
}

// Supersedes reports whether m is a newer entry of the same process than o.
func (m *Member) Supersedes(o *Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Sequence != o.Sequence {
		return m.Sequence > o.Sequence
	}
	return m.State > o.State
}

// holderName returns the hash that names the process in reports. Each incarnation has
// another one, so that no report of a former incarnation counts for it.
func (m *Member) holderName() uint64 {
	const decimal = 10
	b := make([]byte, 0, len(m.ID)+32)
	b = append(b, m.ID...)
	b = append(b, 0)
	b = strconv.AppendUint(b, m.Incarnation, decimal)
	return xxhash.Sum64(b)
}

// digest hashes the ID and the fields that Supersedes compares.
func (m *Member) digest() uint64 {
	const decimal = 10
	b := make([]byte, 0, len(m.ID)+64)
	b = append(b, m.ID...)
	b = append(b, 0)
	b = strconv.AppendUint(b, m.Incarnation, decimal)
	b = append(b, 0)
	b = strconv.AppendUint(b, m.Sequence, decimal)
	b = append(b, 0, byte(m.State))
	return xxhash.Sum64(b)
}

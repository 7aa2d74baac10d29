package spread

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Member is a process of the system as the other processes know it.
type Member struct {
	// ID names the process: ROLE/INSTANCE.
	ID string `json:"id" cbor:"1,keyasint"`
	// Role is gateway or controller.
	Role string `json:"role" cbor:"2,keyasint"`
	// Region holds the failure domain.
	Region string `json:"region" cbor:"3,keyasint"`
	// FailureDomain is what the process can be lost together with.
	FailureDomain string `json:"failure_domain" cbor:"4,keyasint"`
	// PublicAddress is where callers reach a gateway; empty for a controller.
	PublicAddress string `json:"public_address" cbor:"5,keyasint"`
	// LinkAddress is where other processes reach it.
	LinkAddress string `json:"link_address" cbor:"6,keyasint"`
	// Incarnation grows with each start of the process.
	Incarnation uint64 `json:"incarnation" cbor:"7,keyasint"`
	// Sequence grows when a process contradicts that it is gone.
	Sequence uint64 `json:"sequence" cbor:"8,keyasint"`
	// State is where the process is in its life.
	State State `json:"state" cbor:"9,keyasint"`
}

// Supersedes reports whether m is newer knowledge of the same process than o.
func (m *Member) Supersedes(o *Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Sequence != o.Sequence {
		return m.Sequence > o.Sequence
	}
	return m.State > o.State
}

// digest covers what Supersedes compares.
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

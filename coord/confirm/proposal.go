package confirm

import (
	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Proposal is a configuration to be confirmed.
type Proposal struct {
	// Chain is the chain to extend.
	Chain Chain
	// PlanID identifies the plan. It must be unique.
	PlanID string
	// Base is the version that the plan was made against.
	Base uint64
	// Value is the content of the new configuration.
	Value []byte
	// ExtraChanges are further changes in the same transaction, such as to the
	// row of the plan.
	ExtraChanges []row.Change
}

// transaction returns the transaction that confirms the proposal.
func (p Proposal) transaction() row.Transaction {
	c := newConfiguration(p)
	changes := []row.Change{
		{Key: p.Chain.HeadKey(), Expect: p.Base, Value: codec.Encode(c.head())},
		{Key: p.Chain.VersionKey(c.Version), Expect: 0, Value: codec.Encode(c)},
	}
	return row.Transaction{Changes: append(changes, p.ExtraChanges...)}
}

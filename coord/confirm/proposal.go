package confirm

import (
	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Proposal is a configuration that is to be confirmed.
type Proposal struct {
	// Chain names the chain.
	Chain Chain
	// PlanID names the plan. No two plans share one.
	PlanID string
	// Base is the version that the plan was made against.
	Base uint64
	// Value is the content of the new configuration.
	Value []byte
	// Also are changes that take effect with the confirmation or not at all,
	// such as the state of the plan.
	Also []row.Change
}

// transaction returns the one transaction that confirms the proposal.
func (p Proposal) transaction() row.Transaction {
	c := newConfiguration(p)
	changes := []row.Change{
		{Key: p.Chain.Head(), Expect: p.Base, Value: codec.Encode(c.head())},
		{Key: p.Chain.Version(c.Version), Expect: 0, Value: codec.Encode(c)},
	}
	return row.Transaction{Changes: append(changes, p.Also...)}
}

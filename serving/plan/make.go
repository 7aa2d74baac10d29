package plan

import (
	"sort"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// Make computes the plan of an intent. It returns a *NoPricesError or an
// *EncodeError if it fails.
func Make(in Input) (*Plan, error) {
	if len(in.Prices) == 0 {
		return nil, &NoPricesError{}
	}
	after := replaceDocument(in.Head, in.Document)
	p := &Plan{
		Base:               in.Head.Version,
		Created:            in.Now.UTC(),
		Expires:            in.Now.Add(in.Lifetime).UTC(),
		Document:           *in.Document,
		TotalMicrosPerHour: in.TotalMicrosPerHour,
		Pools:              Placements(in.Document, in.Prices, in.Fleet),
		Costs:              costs(after, in),
	}
	before := documentOf(in.Head, in.Document.Member)
	p.Changes = diff(before, in.Document)
	p.Changes = append(p.Changes, instanceChanges(in, p.Pools)...)
	if in.Head.TotalMicrosPerHour != in.TotalMicrosPerHour {
		p.Changes = append(p.Changes, Change{
			Subject: Budgets,
			Name:    "total",
			From:    in.Head.TotalMicrosPerHour.String(),
			To:      in.TotalMicrosPerHour.String(),
		})
	}
	if err := p.setDigest(); err != nil {
		return nil, err
	}
	return p, nil
}

// Placements returns the wanted placement of each pool of a document.
func Placements(d *intent.Document, prices price.List, instances []fleet.Instance) []PoolPlacement {
	list := make([]PoolPlacement, 0, len(d.Pools))
	for i := range d.Pools {
		pool := &d.Pools[i]
		target := place.Choose(place.Request{
			Pool:    pool,
			Prices:  prices,
			Current: place.CountPoolByOption(instances, d.Member, pool.Name),
		})
		list = append(list, PoolPlacement{Pool: pool.Name, Target: target})
	}
	return list
}

// replaceDocument returns the documents of all members, where d replaces that of
// its member, in the order of the members' names.
func replaceDocument(head *intent.Configuration, d *intent.Document) []intent.Document {
	list := []intent.Document{*d}
	for _, other := range head.Documents {
		if other.Member != d.Member {
			list = append(list, other)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Member < list[j].Member })
	return list
}

// documentOf returns a member's document, an empty one if it has none.
func documentOf(c *intent.Configuration, member string) *intent.Document {
	for i := range c.Documents {
		if c.Documents[i].Member == member {
			return &c.Documents[i]
		}
	}
	return &intent.Document{Member: member}
}

// costs returns the cost of each member with the documents after the plan.
func costs(after []intent.Document, in Input) []Cost {
	list := make([]Cost, 0, len(after))
	for i := range after {
		d := &after[i]
		list = append(list, Cost{
			Member:              d.Member,
			MicrosPerHour:       costOf(d, in),
			BeforeMicrosPerHour: costOf(documentOf(in.Head, d.Member), in),
			AgreedMicrosPerHour: d.Budget.MicrosPerHour,
		})
	}
	return list
}

// costOf returns the price of the wanted placement of all pools of a document.
func costOf(d *intent.Document, in Input) intent.Micros {
	var sum intent.Micros
	for _, p := range Placements(d, in.Prices, in.Fleet) {
		sum += intent.Micros(p.MicrosPerHour())
	}
	return sum
}

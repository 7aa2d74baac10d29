package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// updateOf returns a page of the store in the form in which gateways pass it on.
func updateOf(table string, p rows.Page, span exchange.Span) exchange.TableUpdate {
	u := exchange.TableUpdate{
		Table: table, Version: span.End.Version, Timeline: span.End.Timeline, Full: span.IsList, Since: span.Since, Available: true,
	}
	for _, r := range p.Rows {
		u.Entries = append(u.Entries, exchange.Entry{Key: r.Key.Sort, Value: r.Value, Version: max(r.Version, 1), Removed: r.Removed})
	}
	return u
}

// spanOf returns the part of a table's history that a page of the store tells. The changes
// of a feed are those after the version since.
func spanOf(p rows.Page, isList bool, since uint64) exchange.Span {
	return exchange.Span{End: exchange.Position{Timeline: p.Timeline, Version: p.Version}, IsList: isList, Since: since}
}

// pageOf returns what a gateway has passed on in the form of a page of the store.
func pageOf(u exchange.TableUpdate) rows.Page {
	p := rows.Page{Version: u.Version, Timeline: u.Timeline}
	for _, e := range u.Entries {
		p.Rows = append(p.Rows, rows.Row{Table: u.Table, Key: row.Key{Sort: e.Key}, Value: e.Value, Version: e.Version, Removed: e.Removed})
	}
	return p
}

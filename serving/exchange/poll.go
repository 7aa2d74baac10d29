package exchange

import "github.com/sycamorecourse/sycamorecourse/serving/cluster"

// Poll is the message of a gateway to a hub.
type Poll struct {
	// Record is the present record of the gateway that polls.
	Record cluster.Record `cbor:"1,keyasint"`
	// Hub and Position are those of the last News from this hub; 0 before the first.
	Hub      uint64 `cbor:"2,keyasint,omitempty"`
	Position uint64 `cbor:"3,keyasint,omitempty"`
	// Versions are the versions of the tables of which it wants news, and Timelines those of
	// the store in which it read them; none if it follows the store itself. Senders of former
	// releases leave Timelines out.
	Versions  map[string]uint64 `cbor:"4,keyasint,omitempty"`
	Timelines map[string]uint64 `cbor:"7,keyasint,omitempty"`
	// IsHub is set if it is a hub itself: it gets only the records that have not passed
	// another hub.
	IsHub bool `cbor:"5,keyasint,omitempty"`
	// NeedsCounts is set if it may have to report usage. The others get the records
	// without the counts of requests.
	NeedsCounts bool `cbor:"6,keyasint,omitempty"`
}

// SetTablePosition names a table of which the sender wants news, and how far it has it.
func (p *Poll) SetTablePosition(table string, at Position) {
	if p.Versions == nil {
		p.Versions, p.Timelines = make(map[string]uint64), make(map[string]uint64)
	}
	p.Versions[table], p.Timelines[table] = at.Version, at.Timeline
}

// TablePosition returns how far the sender has a table. One that names no timeline is taken to
// be in the given one.
func (p Poll) TablePosition(table string, timeline uint64) Position {
	if p.Timelines != nil {
		timeline = p.Timelines[table]
	}
	return Position{Timeline: timeline, Version: p.Versions[table]}
}

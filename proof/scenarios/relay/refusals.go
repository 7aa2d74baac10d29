package relay

import "github.com/sycamorecourse/sycamorecourse/coord/ring"

// refusalSlots is the capacity of the ring of refusals of a connection.
const refusalSlots = 256

// refusals keeps the refusals on one connection until their requests come again. The
// pipe from the target adds them; the rest belongs to the pipe to the target.
type refusals struct {
	added *ring.Ring[refusal]
	// kept maps the ID of a request to its refusal.
	kept map[string][]byte
}

func newRefusals() *refusals {
	return &refusals{added: ring.New[refusal]("refusals", refusalSlots), kept: make(map[string][]byte)}
}

// add keeps a refusal. It drops it if the ring is full.
func (r *refusals) add(refused refusal) { _ = r.added.Offer(refused) }

// take removes and returns the refusal of a request; nil if it was not refused.
func (r *refusals) take(id string) []byte {
	for {
		refused, ok, err := r.added.TakeUntil(0)
		if err != nil || !ok {
			break
		}
		r.kept[refused.id] = refused.response
	}
	response := r.kept[id]
	delete(r.kept, id)
	return response
}

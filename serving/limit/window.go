package limit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// slotsPerQuarter is the number of slots into which a quarter of the window is
// divided.
const slotsPerQuarter = 8

// rateSlots is the number of slots over which the present rate of use is averaged.
const rateSlots = 5

// windowSlots is the number of slots of a window. One more is in use, since the
// newest one is not complete.
const windowSlots = quarters * slotsPerQuarter

// window counts amounts over a sliding window. It counts each for at least the length
// of the window.
type window struct {
	length time.Duration
	slots  [windowSlots + 1]float64
	newest int64 // number of the newest slot
	sum    float64
}

func newWindow(length time.Duration, now clock.Instant) window {
	w := window{length: length}
	w.newest = w.number(now)
	return w
}

// advance clears the slots that have left the window.
func (w *window) advance(now clock.Instant) {
	number := w.number(now)
	if number-w.newest >= int64(len(w.slots)) {
		w.slots, w.sum, w.newest = [windowSlots + 1]float64{}, 0, number
		return
	}
	for w.newest < number {
		w.newest++
		slot := w.slot(0)
		w.sum = max(w.sum-*slot, 0)
		*slot = 0
	}
}

// add counts an amount that was used some time before.
func (w *window) add(amount float64, age time.Duration) {
	back := int(age / w.slotLength())
	if back < len(w.slots) {
		*w.slot(back) += amount
		w.sum += amount
	}
}

// remove takes back an amount of late.
func (w *window) remove(amount float64) {
	slot := w.slot(0)
	taken := min(amount, *slot)
	*slot -= taken
	w.sum = max(w.sum-taken, 0)
}

// use returns what was counted, by quarters.
func (w *window) use() Use {
	var u Use
	for back := range w.slots {
		u[min(back/slotsPerQuarter, quarters-1)] += *w.slot(back)
	}
	return u
}

// rate returns the use per second in the last second or so.
func (w *window) rate() float64 {
	sum := 0.0
	for back := range rateSlots {
		sum += *w.slot(back)
	}
	return sum / (rateSlots * w.slotLength().Seconds())
}

// slot returns the slot that is some places before the newest.
func (w *window) slot(back int) *float64 {
	n := int64(len(w.slots))
	return &w.slots[((w.newest-int64(back))%n+n)%n]
}

func (w *window) slotLength() time.Duration {
	return max(w.length/windowSlots, 1)
}

// number returns the number of the slot for an instant.
func (w *window) number(now clock.Instant) int64 {
	return int64(time.Duration(now) / w.slotLength())
}

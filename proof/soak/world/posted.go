package world

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// postPatience is the timeout for the thread of a stand-in.
const postPatience = 20 * time.Second

// Posted runs f on the duty of a stand-in and waits for it. It fails with a
// *StuckError, or as Post does.
func Posted(d interface{ Post(func()) error }, f func()) error {
	done := ring.New[bool]("posted", 1)
	err := d.Post(func() {
		f()
		_ = done.Offer(true)
	})
	if err != nil {
		return err
	}
	if _, ok, err := done.TakeUntil(postPatience); err != nil || !ok {
		return &StuckError{}
	}
	return nil
}

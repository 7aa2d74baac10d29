package clock_test

import (
	"testing"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

func TestSystemNeverGoesBackwards(t *testing.T) {
	var c clock.System
	last := c.Now()
	if last <= 0 {
		t.Fatalf("the first instant is %d", last)
	}
	for range 1000 {
		now := c.Now()
		if now.Before(last) {
			t.Fatalf("%d came after %d", now, last)
		}
		last = now
	}
}

func BenchmarkSystemNow(b *testing.B) {
	var c clock.System
	b.ReportAllocs()
	for range b.N {
		c.Now()
	}
}

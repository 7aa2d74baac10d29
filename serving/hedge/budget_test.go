package hedge_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/serving/hedge"
)

func TestNonIdempotentRequestsAreNeverHedged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := hedge.NewBudget(hedge.Config{})
		predicted := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "predicted"))
		if _, ok := b.Delay(hedge.Attempt{PredictedFirstToken: predicted}); ok {
			t.Fatal("a request that is not idempotent would be hedged")
		}
	})
}

func TestThereIsNoHedgeWhileRequestsWait(t *testing.T) {
	if b := hedge.NewBudget(hedge.Config{}); b.Take(1) || !b.Take(0) {
		t.Fatal("Take(1) = true or Take(0) = false, want hedges only if no request waits")
	}
}

func TestHedgesStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.01, 0.5).Draw(t, "share")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		requests := rapid.IntRange(0, 2000).Draw(t, "requests")
		b := hedge.NewBudget(hedge.Config{Share: share, Burst: burst})
		hedges := 0
		for range requests {
			b.RecordRequest()
			if b.Take(0) {
				hedges++
			}
		}
		if float64(hedges) > share*float64(requests)+burst {
			t.Fatalf("%d hedges for %d requests", hedges, requests)
		}
	})
}

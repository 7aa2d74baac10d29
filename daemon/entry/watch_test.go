package entry

import (
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
)

// After a restart of all gateways each of them reads whole tables at the same time.
var _ = ginkgo.Describe("watch of a store that is asked for more than it allows", func() {
	throttled := &row.UnavailableError{Err: &rows.StatusError{Status: http.StatusTooManyRequests}}

	ginkgo.It("spreads the calls of many gateways over longer and longer times", func() {
		const gateways, window = 300, 150 * time.Millisecond
		busiest := func(failures int) int {
			calls := make(map[time.Duration]int)
			most := 0
			for range gateways {
				w, t := newWatch(), &watchedTable{}
				delay := time.Duration(0)
				for range failures {
					delay = w.retryDelay(t, throttled)
				}
				Expect(delay).To(BeNumerically("<=", watchRetryDelay+maxThrottleDelay))
				calls[delay/window]++
				most = max(most, calls[delay/window])
			}
			return most
		}
		Expect(busiest(5)).To(BeNumerically("<", gateways/5))
	})

	ginkgo.It("comes back soon after other failures", func() {
		w, t := newWatch(), &watchedTable{}
		Expect(w.retryDelay(t, &row.UnavailableError{Err: &rows.StatusError{Status: http.StatusServiceUnavailable}})).To(Equal(watchRetryDelay))
		w.retryDelay(t, throttled)
		Expect(t.throttled).To(Equal(1))
	})
})

package entry_test

import (
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
)

// together sends a number of streams at once and returns how to take their
// answers.
func together(g *gateway, count int) func() reply {
	answers := ring.New[reply]("answers", count)
	for range count {
		hosttest.Go(func() { _ = answers.Offer(g.ask("POST", "/single/x", "key", "prompt")) })
	}
	return func() reply {
		got, err := answers.Take()
		Expect(err).NotTo(HaveOccurred())
		return got
	}
}

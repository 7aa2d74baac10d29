package history_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/member"
	"github.com/sycamorecourse/sycamorecourse/proof/history"
)

var _ = Describe("Members", func() {
	DescribeTable("learn of a leaving process at once and of a lost failure domain in seconds",
		func(count, domains int) {
			const settling = 3 * time.Second
			r := history.NewMemberRun(1, count, domains)
			r.Run(settling)
			Expect(r.Count(member.Live)).To(Equal(count * count))
			messages := r.Messages
			const quiet = 5 * time.Second
			r.Run(quiet)
			perNode := float64(count) * quiet.Seconds()
			rate := float64(r.Messages-messages) / perNode
			GinkgoWriter.Printf("quiet: %.1f messages a second and process\n", rate)
			Expect(rate).To(BeNumerically("<=", 2*member.DefaultConfig().NeighbourCount))

			r.Leave(0)
			took := r.Until(5*time.Second, func() bool { return r.Count(member.Leaving) == count })
			GinkgoWriter.Println("leaving known to all after", took)
			Expect(took).To(BeNumerically("<", time.Second))

			messages = r.Messages
			r.Lose("domain-1")
			lost := (count + domains - 2) / domains
			left := count - lost
			config := member.DefaultConfig()
			limit := config.SuspectAfter + config.GoneAfter + 3*config.HeartbeatEvery
			took = r.Until(2*limit, func() bool { return r.Count(member.Gone) == left*lost })
			GinkgoWriter.Printf("lost domain of %d known to all after %s, %d messages a process\n",
				lost, took, (r.Messages-messages)/left)
			Expect(took).To(BeNumerically("<", limit))
			Expect(r.Count(member.Live)).To(Equal(left * (left - 1)))
			Expect(r.Count(member.Suspect)).To(BeZero())
		},
		Entry("8 processes in 3 failure domains", 8, 3),
		Entry("380 processes in 10 failure domains", 380, 10),
	)
})

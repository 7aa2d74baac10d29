package service_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
	"github.com/sycamorecourse/sycamorecourse/standin/service"
)

func TestService(t *testing.T) {
	hosttest.Run(t, "plain service")
}

var _ = Describe("Service", func() {
	// digestOfBody is the SHA-256 digest of "body".
	const digestOfBody = "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5"

	var s *service.Service

	BeforeEach(func() {
		s = service.New(service.Config{Address: "127.0.0.1:0"})
		Expect(s.Open()).To(Succeed())
		hosttest.Start(s)
	})

	send := func(key string) (int, error) {
		header := http.Header{service.KeyHeader: {key}}
		status, _, _, err := hosttest.Send(http.MethodPost, s.Address(), "/pickups/7", header, []byte("body"))
		return status, err
	}
	runs := func() service.AuditLog {
		var w service.AuditLog
		Expect(hosttest.SendJSON(http.MethodGet, s.Address(), "/standin/runs", nil, &w)).To(Equal(http.StatusOK))
		return w
	}

	It("describes each run in the response and counts the runs of each key", func() {
		var answer service.RunResponse
		Expect(hosttest.SendJSON(http.MethodPut, s.Address(), "/a/b", nil, &answer)).To(Equal(http.StatusOK))
		Expect(answer).To(HaveField("Path", "/a/b"))
		Expect(answer).To(HaveField("Method", http.MethodPut))
		Expect(answer).To(HaveField("Run", 1))
		Expect(send("k1")).To(Equal(http.StatusOK))
		Expect(send("k1")).To(Equal(http.StatusOK))
		w := runs()
		Expect(w.Runs).To(Equal(3))
		Expect(*w.Keys[1]).To(Equal(service.KeyRuns{Key: "k1", Runs: 2, Method: http.MethodPost, Path: "/pickups/7"}))
	})

	It("returns the digest of the body", func() {
		_, _, body, err := hosttest.Send(http.MethodPost, s.Address(), "/x", nil, []byte("body"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(ContainSubstring(digestOfBody))
	})

	DescribeTable("with a fault",
		func(f host.Faults, status, count int) {
			hosttest.SetFaults(s.Address(), f)
			got, err := send("k")
			if status == 0 {
				Expect(err).To(HaveOccurred())
			} else {
				Expect(err).NotTo(HaveOccurred())
				Expect(got).To(Equal(status))
			}
			Expect(runs().Runs).To(Equal(count))
		},
		Entry("down, refusing", host.Faults{Down: true}, http.StatusServiceUnavailable, 0),
		Entry("down, failing", host.Faults{Down: true, Mode: host.ModeError}, http.StatusInternalServerError, 0),
		Entry("down, cutting", host.Faults{Down: true, Mode: host.ModeCut}, 0, 0),
		Entry("slow", host.Faults{SlowMillis: 5}, http.StatusOK, 1),
		Entry("losing the answer", host.Faults{LoseAnswers: 1}, 0, 1),
		Entry("losing the request", host.Faults{LoseRequests: 1}, 0, 0),
		Entry("refusing new work", host.Faults{RefuseStart: true}, http.StatusServiceUnavailable, 0),
	)

	It("rejects calls above the rate limit", func() {
		hosttest.SetFaults(s.Address(), host.Faults{ThrottlePerSecond: 0.0001})
		Expect(send("k")).To(Equal(http.StatusOK))
		Expect(send("k")).To(Equal(http.StatusServiceUnavailable))
		Expect(runs().Runs).To(Equal(1))
	})

	It("rejects invalid fault settings", func() {
		Expect(hosttest.SendJSON(http.MethodPost, s.Address(), "/standin/faults", host.Faults{SlowMillis: -1}, nil)).
			To(Equal(http.StatusBadRequest))
	})
})

package site_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/standin/cloud"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
	"github.com/sycamorecourse/sycamorecourse/standin/site"
	"github.com/sycamorecourse/sycamorecourse/standin/weights"
)

func TestSite(t *testing.T) {
	hosttest.Run(t, "site")
}

var _ = Describe("Site", func() {
	const settle = 20 * time.Second

	start := func(config site.Config) site.Addresses {
		config.Address = "127.0.0.1:0"
		s, err := site.Start(config)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { Expect(s.Stop()).To(Succeed()) })
		return s.Addresses()
	}
	list := func(a site.Addresses) []fleet.Instance {
		var l cloud.InstanceList
		Expect(hosttest.SendJSON(http.MethodGet, a.Cloud, "/v1/instances", nil, &l)).To(Equal(http.StatusOK))
		return l.Instances
	}
	complete := func(address, model string) int {
		request := engine.Request{Model: model, Prompt: "x", MaxTokens: 1, Stream: true, RequestID: "r"}
		return hosttest.OpenStream(http.MethodPost, address, "/v1/completions", request).Status
	}
	replacement := cloud.StartRequest{
		ClientToken: "t", MachineClass: site.ClassLarge, FailureDomain: "seoul-a",
		Reclaimable: true, Member: site.MemberNoranbus, Pool: "route-llm",
	}

	It("runs the pools of both members at their size of today", func() {
		a := start(site.Config{Members: []site.Member{site.Noranbus(), site.Cooperative()}})
		Expect(a.Engines).To(HaveLen(9 + 12))
		Expect(a.Services).To(HaveLen(3 + 3))
		Expect(list(a)).To(Equal(a.Instances))
		Expect(complete(a.Engines[0], "route-llm")).To(Equal(http.StatusOK))
		Expect(complete(a.Engines[20], "drafting")).To(Equal(http.StatusOK))
		domains := make(map[string]int)
		for _, i := range a.Instances {
			domains[i.FailureDomain]++
		}
		Expect(domains).To(Equal(map[string]int{
			"seoul-a": 4, "seoul-b": 4, "seoul-c": 4,
			"regina-hall": 5, "saskatoon-hall": 5, "brandon-hall": 5,
		}))
	})

	It("ends what runs on a reclaimed instance at its deadline", func() {
		a := start(site.Config{Members: []site.Member{site.Noranbus().WithReplicas(1, 0)}})
		address := a.Engines[0]
		id := a.Instances[0].ID
		request := cloud.NoticeRequest{InstanceID: id, Seconds: 0.05}
		// The only instance is on demand, so it goes without a notice.
		Expect(a.Instances[0].Reclaimable).To(BeFalse())
		request.Silent = true
		Expect(hosttest.SendJSON(http.MethodPost, a.Cloud, "/standin/notice", request, nil)).To(Equal(http.StatusOK))
		Eventually(func() error {
			_, _, _, err := hosttest.Send(http.MethodGet, address, "/v1/state", nil, nil)
			return err
		}).WithTimeout(settle).Should(HaveOccurred())
		Eventually(func() []fleet.Instance { return list(a) }).WithTimeout(settle).Should(BeEmpty())
	})

	It("starts a replacement that serves its pool", func() {
		a := start(site.Config{Members: []site.Member{site.Noranbus().WithReplicas(0, 0)}})
		var instance fleet.Instance
		Expect(hosttest.SendJSON(http.MethodPost, a.Cloud, "/v1/instances", replacement, &instance)).To(Equal(http.StatusCreated))
		Expect(complete(instance.Address, "route-llm")).To(Equal(http.StatusOK))
		taken := cloud.NoticeRequest{FailureDomain: "seoul-a", Seconds: 0.02}
		Expect(hosttest.SendJSON(http.MethodPost, a.Cloud, "/standin/notice", taken, nil)).To(Equal(http.StatusOK))
		Eventually(func() error {
			_, _, _, err := hosttest.Send(http.MethodGet, instance.Address, "/v1/state", nil, nil)
			return err
		}).WithTimeout(settle).Should(HaveOccurred())
	})

	It("starts an empty replacement, which loads its model from the weight store when ordered", func() {
		a := start(site.Config{
			Members:    []site.Member{site.Noranbus().WithReplicas(0, 0)},
			StartEmpty: true,
			Weights:    weights.Config{CallsPerSecond: 20},
		})
		var instance fleet.Instance
		Expect(hosttest.SendJSON(http.MethodPost, a.Cloud, "/v1/instances", replacement, &instance)).To(Equal(http.StatusCreated))
		Expect(complete(instance.Address, "route-llm")).To(Equal(http.StatusBadRequest))
		hosttest.SetFaults(a.Weights, map[string]int{"lose_requests": 1})
		order := engine.Order{Fencing: 1, Desired: engine.DesiredState{Models: []engine.Model{{Name: "route-llm", Version: "1"}}}}
		Expect(hosttest.SendJSON(http.MethodPost, instance.Address, "/v1/orders", order, nil)).To(Equal(http.StatusOK))
		Eventually(func() int { return complete(instance.Address, "route-llm") }).WithTimeout(settle).Should(Equal(http.StatusOK))
	})

	It("refuses an instance for a pool that does not exist", func() {
		a := start(site.Config{Members: []site.Member{site.Noranbus().WithReplicas(0, 0)}})
		request := replacement
		request.Pool = "none"
		Expect(hosttest.SendJSON(http.MethodPost, a.Cloud, "/v1/instances", request, nil)).To(Equal(http.StatusInternalServerError))
	})

	It("fails as a whole when an address can't be used", func() {
		_, err := site.Start(site.Config{Address: "nowhere"})
		Expect(err).To(BeAssignableToTypeOf(&site.AddressError{}))
		_, err = site.Start(site.Config{Address: "192.0.2.1:0"})
		Expect(err).To(HaveOccurred())
	})
})

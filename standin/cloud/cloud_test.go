package cloud_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/standin/cloud"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
)

func TestCloud(t *testing.T) {
	hosttest.Run(t, "cloud API")
}

// starter starts upstreams that do nothing and counts them. Only the thread of
// the cloud uses it.
type starter struct {
	started int
}

func (s *starter) Start(fleet.Instance) (cloud.Upstream, error) {
	s.started++
	return &upstream{address: fmt.Sprintf("127.0.0.1:%d", s.started)}, nil
}

type upstream struct {
	address string
}

func (u *upstream) Address() string { return u.address }
func (u *upstream) Stop()           {}

var _ = Describe("Cloud", func() {
	const settleTimeout = 20 * time.Second

	var c *cloud.Cloud

	offers := []cloud.Offer{
		{Region: "r", FailureDomain: "a", MachineClass: "gpu", Reclaimable: true, MicrosPerHour: 10},
		{Region: "r", FailureDomain: "a", MachineClass: "gpu", MicrosPerHour: 30},
		{Region: "r", FailureDomain: "b", MachineClass: "gpu", Reclaimable: true, MicrosPerHour: 11},
	}
	startRequest := func(token, domain string, reclaimable bool) cloud.StartRequest {
		return cloud.StartRequest{ClientToken: token, MachineClass: "gpu", FailureDomain: domain, Reclaimable: reclaimable, Member: "m", Pool: "p"}
	}
	openCloud := func(config cloud.Config, initial ...cloud.StartRequest) {
		config.Address = "127.0.0.1:0"
		config.Offers = offers
		config.Starter = &starter{}
		c = cloud.New(config)
		Expect(c.Open()).To(Succeed())
		for _, request := range initial {
			_, err := c.Launch(request)
			Expect(err).NotTo(HaveOccurred())
		}
		hosttest.Start(c)
	}
	send := func(method, path string, body, result any) int {
		return hosttest.SendJSON(method, c.Address(), path, body, result)
	}
	startInstance := func(request cloud.StartRequest) fleet.Instance {
		var instance fleet.Instance
		Expect(send(http.MethodPost, "/v1/instances", request, &instance)).To(Equal(http.StatusCreated))
		return instance
	}
	refusal := func(request cloud.StartRequest) (int, host.FailureType) {
		var f host.Failure
		status := send(http.MethodPost, "/v1/instances", request, &f)
		return status, f.Error.Type
	}
	list := func() []fleet.Instance {
		var l cloud.InstanceList
		Expect(send(http.MethodGet, "/v1/instances", nil, &l)).To(Equal(http.StatusOK))
		return l.Instances
	}
	currentInstances := func() []fleet.Instance {
		var l cloud.InstanceList
		Expect(send(http.MethodGet, "/standin/instances", nil, &l)).To(Equal(http.StatusOK))
		return l.Instances
	}
	notices := func(after uint64, waitMillis int) cloud.Notices {
		var n cloud.Notices
		path := fmt.Sprintf("/v1/notices?after=%d&wait_ms=%d", after, waitMillis)
		Expect(send(http.MethodGet, path, nil, &n)).To(Equal(http.StatusOK))
		return n
	}
	reclaim := func(request cloud.NoticeRequest) []string {
		var n cloud.NoticeResponse
		Expect(send(http.MethodPost, "/standin/notice", request, &n)).To(Equal(http.StatusOK))
		return n.InstanceIDs
	}

	It("starts an instance, which is listed once it is live", func() {
		openCloud(cloud.Config{})
		instance := startInstance(startRequest("t", "a", true))
		Expect(instance).To(Equal(fleet.Instance{
			ID: "i-000001", Member: "m", Pool: "p", Address: "127.0.0.1:1", Region: "r", FailureDomain: "a",
			MachineClass: "gpu", Reclaimable: true, State: fleet.Starting, MicrosPerHour: 10,
		}))
		instance.State = fleet.Live
		Eventually(list).WithTimeout(settleTimeout).Should(Equal([]fleet.Instance{instance}))
	})

	It("starts one instance for each client token", func() {
		openCloud(cloud.Config{BootTime: time.Hour})
		instance := startInstance(startRequest("t", "a", true))
		var again fleet.Instance
		Expect(send(http.MethodPost, "/v1/instances", startRequest("t", "a", true), &again)).To(Equal(http.StatusOK))
		Expect(again).To(Equal(instance))
		Expect(currentInstances()).To(HaveLen(1))
		status, kind := refusal(startRequest("t", "b", true))
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(kind).To(Equal(host.FailureInvalid))
	})

	It("serves a list that lags", func() {
		openCloud(cloud.Config{ListLag: time.Hour}, startRequest("", "a", true))
		startInstance(startRequest("t", "a", true))
		reclaim(cloud.NoticeRequest{InstanceID: "i-000001", Seconds: 3600})
		Expect(list()).To(HaveLen(1))
		Expect(list()[0].State).To(Equal(fleet.Live))
		Expect(currentInstances()[0].State).To(Equal(fleet.Leaving))
	})

	It("ends an instance, and succeeds when it is ended again", func() {
		openCloud(cloud.Config{}, startRequest("", "a", true))
		for range 2 {
			var instance fleet.Instance
			Expect(send(http.MethodDelete, "/v1/instances/i-000001", nil, &instance)).To(Equal(http.StatusOK))
			Expect(instance.State).To(Equal(fleet.Gone))
		}
		Eventually(list).WithTimeout(settleTimeout).Should(BeEmpty())
		Expect(send(http.MethodDelete, "/v1/instances/none", nil, nil)).To(Equal(http.StatusNotFound))
	})

	It("publishes notices for the reclaimable instances of a failure domain, and ends them at the deadline", func() {
		openCloud(cloud.Config{}, startRequest("", "a", true), startRequest("", "a", false), startRequest("", "b", true))
		Expect(reclaim(cloud.NoticeRequest{FailureDomain: "a", Seconds: 0.05})).To(Equal([]string{"i-000001"}))
		n := notices(0, 60_000)
		Expect(n.LastSeq).To(Equal(uint64(1)))
		Expect(n.Notices).To(HaveLen(1))
		Expect(n.Notices[0].InstanceID).To(Equal("i-000001"))
		Eventually(func() fleet.State { return currentInstances()[0].State }).WithTimeout(settleTimeout).Should(Equal(fleet.Gone))
		Expect(currentInstances()[1].State).To(Equal(fleet.Live))
		Expect(currentInstances()[2].State).To(Equal(fleet.Live))
	})

	It("replies to a poll at the next notice, or when its wait is over", func() {
		openCloud(cloud.Config{}, startRequest("", "a", true), startRequest("", "b", true))
		Expect(notices(0, 1)).To(Equal(cloud.Notices{Notices: []cloud.Notice{}}))
		reclaim(cloud.NoticeRequest{InstanceID: "i-000001", Seconds: 3600})
		pending := hosttest.NewPending[cloud.Notices]()
		hosttest.Go(func() { pending.Done(notices(1, 60_000), nil) })
		reclaim(cloud.NoticeRequest{InstanceID: "i-000002", Seconds: 3600})
		n, err := pending.Wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(n.LastSeq).To(Equal(uint64(2)))
		Expect(n.Notices[0].Seq).To(Equal(uint64(2)))
	})

	It("ends instances without a notice", func() {
		openCloud(cloud.Config{}, startRequest("", "a", true), startRequest("", "a", false))
		Expect(reclaim(cloud.NoticeRequest{FailureDomain: "a", Silent: true})).To(HaveLen(2))
		Expect(notices(0, 0).Notices).To(BeEmpty())
		Expect(currentInstances()).To(HaveEach(HaveField("State", fleet.Gone)))
	})

	It("refuses a start without capacity or without an offer", func() {
		openCloud(cloud.Config{})
		Expect(send(http.MethodPost, "/standin/capacity", cloud.Capacity{FailureDomain: "a", Instances: 1}, nil)).To(Equal(http.StatusOK))
		startInstance(startRequest("t1", "a", true))
		status, kind := refusal(startRequest("t2", "a", true))
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(kind).To(Equal(cloud.FailureCapacity))
		startInstance(startRequest("t3", "b", true))
		Expect(send(http.MethodPost, "/standin/capacity", cloud.Capacity{FailureDomain: "a", Instances: -1}, nil)).To(Equal(http.StatusOK))
		startInstance(startRequest("t2", "a", true))
		status, kind = refusal(startRequest("t4", "b", false))
		Expect(status).To(Equal(http.StatusBadRequest))
		Expect(kind).To(Equal(host.FailureInvalid))
	})

	DescribeTable("with a fault",
		func(f host.Faults, status int, kind host.FailureType) {
			openCloud(cloud.Config{})
			hosttest.SetFaults(c.Address(), f)
			gotStatus, gotKind := refusal(startRequest("t", "a", true))
			Expect(gotStatus).To(Equal(status))
			Expect(gotKind).To(Equal(kind))
			Expect(currentInstances()).To(BeEmpty())
		},
		Entry("down", host.Faults{Down: true}, 503, host.FailureUnavailable),
		Entry("failing", host.Faults{Down: true, Mode: host.ModeError}, 500, host.FailureInternal),
		Entry("refusing starts", host.Faults{RefuseStart: true}, 503, cloud.FailureCapacity),
	)

	It("starts an instance although the response is lost, and returns it to a repeated call", func() {
		openCloud(cloud.Config{})
		hosttest.SetFaults(c.Address(), host.Faults{LoseAnswers: 1})
		_, _, _, err := hosttest.Send(http.MethodPost, c.Address(), "/v1/instances", nil,
			[]byte(`{"client_token":"t","machine_class":"gpu","failure_domain":"a","reclaimable":true}`))
		Expect(err).To(HaveOccurred())
		Expect(currentInstances()).To(HaveLen(1))
		request := startRequest("t", "a", true)
		request.Member, request.Pool = "", ""
		Expect(send(http.MethodPost, "/v1/instances", request, nil)).To(Equal(http.StatusOK))
		Expect(currentInstances()).To(HaveLen(1))
	})

	It("limits the rate of calls", func() {
		openCloud(cloud.Config{CallsPerSecond: 0.0001})
		list()
		var f host.Failure
		Expect(send(http.MethodGet, "/v1/instances", nil, &f)).To(Equal(http.StatusTooManyRequests))
		Expect(f.Error.Type).To(Equal(host.FailureThrottled))
	})

	It("serves prices and the bill", func() {
		openCloud(cloud.Config{}, startRequest("", "a", true))
		var p cloud.Prices
		Expect(send(http.MethodGet, "/v1/prices", nil, &p)).To(Equal(http.StatusOK))
		Expect(p.Offers).To(Equal(offers))
		var b cloud.Bill
		Expect(send(http.MethodGet, "/standin/bill", nil, &b)).To(Equal(http.StatusOK))
		Expect(b.Members).To(HaveLen(1))
		Expect(b.Members[0].Member).To(Equal("m"))
		Expect(b.Members[0].InstanceSeconds).To(BeNumerically(">", 0))
	})
})

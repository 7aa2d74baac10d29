package cloud_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	client "github.com/sycamorecourse/sycamorecourse/edge/platform/cloud"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/standin/cloud"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
)

var _ = Describe("Client", func() {
	const shortTimeout = 200 * time.Millisecond

	var (
		service     *cloud.Cloud
		c           *client.Client
		shortClient *client.Client
	)

	offer := cloud.Offer{Region: "r", FailureDomain: "a", MachineClass: "gpu", Reclaimable: true, MicrosPerHour: 10}
	request := client.StartRequest{ClientToken: "t", MachineClass: "gpu", FailureDomain: "a", Reclaimable: true, Member: "m", Pool: "p"}

	BeforeEach(func() {
		service = cloud.New(cloud.Config{Address: "127.0.0.1:0", Offers: []cloud.Offer{offer}, Starter: &starter{}})
		Expect(service.Open()).To(Succeed())
		hosttest.Start(service)
		http := hosttest.StartClient()
		c = client.New(client.Config{Address: service.Address(), Timeout: 20 * time.Second}, http)
		shortClient = client.New(client.Config{Address: service.Address(), Timeout: shortTimeout}, http)
	})

	faults := func(f host.Faults) { hosttest.SetFaults(service.Address(), f) }
	start := func(with *client.Client, r client.StartRequest) (fleet.Instance, error) {
		p := hosttest.NewPending[fleet.Instance]()
		with.Start(r, p.Done)
		return p.Wait()
	}
	end := func(id string) error {
		p := hosttest.NewPending[struct{}]()
		c.End(id, p.Err)
		_, err := p.Wait()
		return err
	}
	list := func() ([]fleet.Instance, error) {
		p := hosttest.NewPending[[]fleet.Instance]()
		c.List(p.Done)
		return p.Wait()
	}
	notices := func(after uint64, wait time.Duration) (client.Notices, error) {
		p := hosttest.NewPending[client.Notices]()
		c.Notices(after, wait, p.Done)
		return p.Wait()
	}

	It("starts, lists and ends an instance", func() {
		instance, err := start(c, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(instance.State).To(Equal(fleet.Starting))
		Eventually(list).WithTimeout(20 * time.Second).Should(ConsistOf(HaveField("ID", instance.ID)))
		Expect(end(instance.ID)).To(Succeed())
		Expect(end(instance.ID)).To(Succeed())
		Eventually(list).WithTimeout(20 * time.Second).Should(BeEmpty())
		Expect(end("none")).To(Equal(&platform.NotFoundError{Service: "cloud", Name: "instance none"}))
	})

	It("returns the offers", func() {
		p := hosttest.NewPending[[]client.Offer]()
		c.Prices(p.Done)
		Expect(p.Wait()).To(Equal([]client.Offer{client.Offer(offer)}))
	})

	It("waits for notices", func() {
		Expect(notices(0, time.Millisecond)).To(Equal(client.Notices{Notices: []client.Notice{}}))
		instance, err := start(c, request)
		Expect(err).NotTo(HaveOccurred())
		pending := hosttest.NewPending[client.Notices]()
		c.Notices(0, 20*time.Second, pending.Done)
		taken := cloud.NoticeRequest{FailureDomain: "a", Seconds: 3600}
		Expect(hosttest.SendJSON("POST", service.Address(), "/standin/notice", taken, nil)).To(Equal(200))
		found, err := pending.Wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(found.LastSeq).To(Equal(uint64(1)))
		Expect(found.Notices[0].InstanceID).To(Equal(instance.ID))
		Expect(found.Notices[0].Deadline).To(BeTemporally(">", time.Now()))
	})

	It("reports why a start had no effect", func() {
		faults(host.Faults{RefuseStart: true})
		_, err := start(c, request)
		Expect(err).To(Equal(&client.CapacityError{FailureDomain: "a", MachineClass: "gpu", Reclaimable: true}))
		faults(host.Faults{Down: true})
		_, err = start(c, request)
		Expect(err).To(BeAssignableToTypeOf(&platform.UnavailableError{}))
		faults(host.Faults{})
		wrong := request
		wrong.MachineClass = "none"
		_, err = start(c, wrong)
		Expect(err).To(BeAssignableToTypeOf(&client.RefusedError{}))
		Expect(list()).To(BeEmpty())
	})

	DescribeTable("reports an unknown outcome when the response is lost, and gets the same instance with the token",
		func(f host.Faults) {
			faults(f)
			_, err := start(shortClient, request)
			Expect(err).To(BeAssignableToTypeOf(&platform.UnknownError{}))
			faults(host.Faults{})
			first, err := start(c, request)
			Expect(err).NotTo(HaveOccurred())
			second, err := start(c, request)
			Expect(err).NotTo(HaveOccurred())
			Expect(second.ID).To(Equal(first.ID))
			Expect(first.ID).To(Equal("i-000001"))
		},
		Entry("answer lost", host.Faults{LoseAnswers: 1}),
		Entry("request lost", host.Faults{LoseRequests: 1}),
		Entry("frozen", host.Faults{Freeze: true}),
		Entry("failing", host.Faults{Down: true, Mode: host.ModeError}),
	)

	It("reports a failed list as unavailable", func() {
		faults(host.Faults{LoseAnswers: 1})
		_, err := list()
		Expect(err).To(BeAssignableToTypeOf(&platform.UnavailableError{}))
	})

	It("reports a throttled end as unavailable", func() {
		faults(host.Faults{ThrottlePerSecond: 0.0001})
		_, _ = list()
		Expect(end("i-000001")).To(BeAssignableToTypeOf(&platform.UnavailableError{}))
	})
})

package objects_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/platform"
	client "github.com/sycamorecourse/sycamorecourse/edge/platform/objects"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
	"github.com/sycamorecourse/sycamorecourse/standin/objects"
)

func TestObjects(t *testing.T) {
	hosttest.Run(t, "object store and its client")
}

var _ = Describe("Client and Objects", func() {
	const shortTimeout = 200 * time.Millisecond

	var (
		store *objects.Store
		c     *client.Client
		hasty *client.Client
	)

	open := func(config objects.Config) {
		config.Address = "127.0.0.1:0"
		store = objects.New(config)
		Expect(store.Open()).To(Succeed())
		hosttest.Start(store)
		http := hosttest.StartClient()
		c = client.New(client.Config{Address: store.Address(), Timeout: 20 * time.Second}, http)
		hasty = client.New(client.Config{Address: store.Address(), Timeout: shortTimeout}, http)
	}

	BeforeEach(func() { open(objects.Config{}) })

	get := func(key string) (client.Object, error) {
		p := hosttest.NewPending[client.Object]()
		c.Get(key, p.Done)
		return p.Wait()
	}
	put := func(over *client.Client, key, body string, condition client.Condition) (string, error) {
		p := hosttest.NewPending[string]()
		over.Put(key, []byte(body), condition, p.Done)
		return p.Wait()
	}
	remove := func(key string) error {
		p := hosttest.NewPending[struct{}]()
		c.Delete(key, p.Err)
		_, err := p.Wait()
		return err
	}
	list := func(prefix string) ([]client.Info, error) {
		p := hosttest.NewPending[[]client.Info]()
		c.List(prefix, p.Done)
		return p.Wait()
	}
	absent := func(key string) {
		GinkgoHelper()
		_, err := get(key)
		Expect(err).To(Equal(&platform.NotFoundError{Service: "object store", Name: key}))
	}

	It("writes, reads and deletes objects", func() {
		absent("a/b c")
		etag, err := put(c, "a/b c", "one", client.Condition{})
		Expect(err).NotTo(HaveOccurred())
		Expect(get("a/b c")).To(Equal(client.Object{Key: "a/b c", ETag: etag, Body: []byte("one")}))
		Expect(remove("a/b c")).To(Succeed())
		Expect(remove("a/b c")).To(Succeed())
		absent("a/b c")
	})

	It("writes only when the condition holds", func() {
		etag, err := put(c, "k", "one", client.Condition{Absent: true})
		Expect(err).NotTo(HaveOccurred())
		_, err = put(c, "k", "two", client.Condition{Absent: true})
		Expect(err).To(Equal(&client.ConditionError{Key: "k"}))
		_, err = put(c, "k", "two", client.Condition{ETag: etag})
		Expect(err).NotTo(HaveOccurred())
		_, err = put(c, "k", "three", client.Condition{ETag: etag})
		Expect(err).To(Equal(&client.ConditionError{Key: "k"}))
		_, err = put(c, "none", "x", client.Condition{ETag: etag})
		Expect(err).To(Equal(&client.ConditionError{Key: "none"}))
		Expect(get("k")).To(HaveField("Body", []byte("two")))
	})

	It("lists a prefix over several pages, in order", func() {
		open(objects.Config{PageKeys: 4})
		for i := range 11 {
			_, err := put(c, fmt.Sprintf("in/%02d", (i*7)%11), "x", client.Condition{})
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := put(c, "out", "x", client.Condition{})
		Expect(err).NotTo(HaveOccurred())
		infos, err := list("in/")
		Expect(err).NotTo(HaveOccurred())
		Expect(infos).To(HaveLen(11))
		for i, info := range infos {
			Expect(info.Key).To(Equal(fmt.Sprintf("in/%02d", i)))
			Expect(info.Size).To(Equal(int64(1)))
		}
		Expect(list("none")).To(BeEmpty())
		Expect(list("")).To(HaveLen(12))
	})

	DescribeTable("reports a write that was certainly not applied",
		func(f host.Faults) {
			hosttest.SetFaults(store.Address(), f)
			// The first call uses up the burst of the rate limit.
			_, _ = get("k")
			_, err := put(c, "k", "one", client.Condition{})
			Expect(err).To(BeAssignableToTypeOf(&platform.UnavailableError{}))
			hosttest.SetFaults(store.Address(), host.Faults{})
			absent("k")
		},
		Entry("when the service is down", host.Faults{Down: true}),
		Entry("when the service throttles", host.Faults{ThrottlePerSecond: 0.0001}),
	)

	DescribeTable("reports a write whose outcome is unknown",
		func(f host.Faults, written bool) {
			hosttest.SetFaults(store.Address(), f)
			_, err := put(c, "k", "one", client.Condition{})
			Expect(err).To(BeAssignableToTypeOf(&platform.OutcomeUnknownError{}))
			hosttest.SetFaults(store.Address(), host.Faults{})
			if written {
				Expect(get("k")).To(HaveField("Body", []byte("one")))
			} else {
				absent("k")
			}
		},
		Entry("when the answer is lost after the write", host.Faults{LoseAnswers: 1}, true),
		Entry("when the request is lost before the write", host.Faults{LoseRequests: 1}, false),
		Entry("when the connection is cut", host.Faults{Down: true, Mode: host.ModeCut}, false),
		Entry("when the service fails inside", host.Faults{Down: true, Mode: host.ModeError}, false),
	)

	It("reports the outcome of a write that timed out as unknown", func() {
		hosttest.SetFaults(store.Address(), host.Faults{Freeze: true})
		_, err := put(hasty, "k", "one", client.Condition{})
		Expect(err).To(BeAssignableToTypeOf(&platform.OutcomeUnknownError{}))
		hosttest.SetFaults(store.Address(), host.Faults{})
		Expect(get("k")).To(HaveField("Body", []byte("one")))
	})

	It("distinguishes a failed read from an absent object", func() {
		hosttest.SetFaults(store.Address(), host.Faults{LoseRequests: 1})
		_, err := get("k")
		Expect(err).To(BeAssignableToTypeOf(&platform.UnavailableError{}))
	})

	It("limits the rate of calls as configured", func() {
		open(objects.Config{CallsPerSecond: 0.0001})
		absent("k")
		_, err := put(c, "k", "one", client.Condition{})
		Expect(err).To(BeAssignableToTypeOf(&platform.UnavailableError{}))
	})

	It("reports a write as not applied when the connection is refused", func() {
		lost := client.New(client.Config{Address: "127.0.0.1:1"}, hosttest.StartClient())
		_, err := put(lost, "k", "one", client.Condition{})
		Expect(err).To(BeAssignableToTypeOf(&platform.UnavailableError{}))
	})

	It("rejects an unknown bucket and an unsupported method", func() {
		status, _, body, err := hosttest.Send(http.MethodGet, store.Address(), "/other/k", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusNotFound))
		Expect(string(body)).To(ContainSubstring("<Code>NoSuchBucket</Code>"))
		status, _, _, err = hosttest.Send(http.MethodPost, store.Address(), "/sycamore/k", nil, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusMethodNotAllowed))
	})
})

// Package path_test proves the path of a request through a gateway, in one
// process.
package path_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/gateway"
	"github.com/sycamorecourse/sycamorecourse/edge/client"
	"github.com/sycamorecourse/sycamorecourse/proof/bed"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

func TestPath(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "path")
}

var _ = Describe("A gateway", Ordered, func() {
	var b *bed.Bed

	BeforeAll(func() {
		var err error
		b, err = bed.Open(bed.Config{Engines: 3, Gateways: 2, Engine: engine.Config{TokenTime: time.Millisecond}})
		Expect(err).NotTo(HaveOccurred())
	})

	AfterAll(func() { Expect(b.Close()).To(Succeed()) })

	open := func(credential string) *client.Client {
		c := client.New(client.Config{Seeds: b.Seeds(), Credential: credential, Seed: 1})
		Expect(c.Open()).To(Succeed())
		DeferCleanup(c.Close)
		return c
	}

	ask := func(key string, idempotent bool) client.Request {
		return client.Request{
			Key: key, Idempotent: idempotent, Model: bed.ModelName, Prompt: "rebuild the routes of " + key,
			MaxTokens: 20, Deadline: 20 * time.Second,
		}
	}

	It("gives the whole answer of an engine", func() {
		answer, err := open(bed.Credential).Submit(ask("whole", true), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Text).To(Equal(engine.CompletionText(bed.ModelName, "", "rebuild the routes of whole", 20)))
		Expect(answer.Attempts).To(Equal(1))
	})

	It("records a non-idempotent request before it runs, and gives a duplicate the same answer", func() {
		c := open(bed.Credential)
		first, err := c.Submit(ask("once", false), nil)
		Expect(err).NotTo(HaveOccurred())
		for range 4 {
			again, err := c.Submit(ask("once", false), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Text).To(Equal(first.Text))
		}
	})

	It("calls a plain service, and one that runs at most once only once", func() {
		c := open(bed.Credential)
		reply, err := c.Call(client.Call{Service: bed.ServiceName, Method: "GET", Path: "/stops?near=gate", Idempotent: true, Deadline: 5 * time.Second})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply.Body)).To(ContainSubstring(`"path":"/stops`))
		boarding := client.Call{Key: "boarding-7", Service: bed.ServiceName, Method: "POST", Path: "/boardings/7", Body: []byte("on"), Deadline: 5 * time.Second}
		first, err := c.Call(boarding)
		Expect(err).NotTo(HaveOccurred())
		for range 4 {
			again, err := c.Call(boarding)
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Body).To(Equal(first.Body))
		}
	})

	It("refuses who has no valid credential, and hides one customer's key from another", func() {
		_, err := open("wrong").Submit(ask("k", true), nil)
		Expect(err.(*client.RefusedError).Reason).To(Equal("unauthorized"))
		_, err = open(bed.Credential).Submit(ask("shared", true), nil)
		Expect(err).NotTo(HaveOccurred())
		other := ask("shared", true)
		other.Prompt = "another prompt"
		answer, err := open(bed.OtherCredential).Submit(other, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Text).To(Equal(engine.CompletionText(bed.ModelName, "", "another prompt", 20)))
	})

	It("keeps many streams whole at once", func() {
		var threads []*thread.Thread
		for i := range 40 {
			c := open(bed.Credential)
			threads = append(threads, thread.Start("caller", func() error {
				r := ask(fmt.Sprintf("many-%d", i), i%2 == 0)
				answer, err := c.Submit(r, nil)
				if err == nil && answer.Text != engine.CompletionText(bed.ModelName, "", r.Prompt, 20) {
					return &client.CorruptError{Detail: r.Key}
				}
				return err
			}))
		}
		for _, t := range threads {
			Expect(t.Join()).To(Succeed())
		}
	})

	It("refuses a non-idempotent request as not run while the table service is down", func() {
		Expect(b.Table.Post(func() { b.Table.SetFaults(host.Faults{Down: true}) })).To(Succeed())
		c := client.New(client.Config{Seeds: b.Seeds(), Credential: bed.Credential, Seed: 1, MaxTries: 1})
		Expect(c.Open()).To(Succeed())
		DeferCleanup(c.Close)
		_, err := c.Submit(ask("down", false), nil)
		Expect(err.(*client.RefusedError).Outcome).To(Equal("not_run"))
		Expect(err.(*client.RefusedError).Reason).To(Equal("store_unavailable"))
		_, err = c.Submit(ask("down-idempotent", true), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Table.Post(func() { b.Table.SetFaults(host.Faults{}) })).To(Succeed())
		answer, err := c.Submit(ask("down", false), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Tokens).To(Equal(20))
	})
})

var _ = Describe("A gateway, when an upstream is reclaimed", func() {
	It("moves requests with their KV cache and recomputes nothing, also non-idempotent ones", func() {
		b, err := bed.Open(bed.Config{Engines: 2, Gateways: 1, Engine: engine.Config{TokenTime: 10 * time.Millisecond}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(b.Close)
		engines := b.Instances()[1:]
		Expect(b.Apply(gateway.Update{Removed: []string{engines[1].ID}})).To(Succeed())
		c := client.New(client.Config{Seeds: b.Seeds(), Credential: bed.Credential, Seed: 1})
		Expect(c.Open()).To(Succeed())
		DeferCleanup(c.Close)
		r := client.Request{Key: "booking", Model: bed.ModelName, Prompt: "confirm the pickup", MaxTokens: 100, Deadline: 20 * time.Second}
		answer, err := c.Submit(r, func(p client.Piece) {
			if p.Index != 5 {
				return
			}
			leaving := engines[0]
			leaving.State = fleet.Leaving
			leaving.Ends = time.Now().Add(700 * time.Millisecond)
			Expect(b.Apply(gateway.Update{Upserts: []fleet.Instance{engines[1], leaving}})).To(Succeed())
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Text).To(Equal(engine.CompletionText(bed.ModelName, "", r.Prompt, 100)))
		Expect(answer.Attempts).To(Equal(2))
		Expect(answer.RecomputedTokens).To(BeZero())
	})
})

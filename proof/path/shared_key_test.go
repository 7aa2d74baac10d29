package path_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/daemon/gateway"
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/client"
	"github.com/sycamorecourse/sycamorecourse/proof/bed"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
)

var _ = Describe("Two gateways with a request of the same key at one engine", func() {
	// submitRaw submits a request and returns the connection once its answer begins.
	submitRaw := func(address string, r client.Request) net.Conn {
		GinkgoHelper()
		body, err := json.Marshal(caller.SubmitBody{
			Key: r.Key, Idempotent: r.Idempotent, Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens,
		})
		Expect(err).NotTo(HaveOccurred())
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nAccept: text/event-stream\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			caller.RequestsPath, bed.Credential, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		start := make([]byte, len("HTTP/1.1 200"))
		_, err = io.ReadFull(conn, start)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(start)).To(Equal("HTTP/1.1 200"))
		return conn
	}

	// Guards against a gateway that cancels, reads or exports another's run: a caller
	// that has lost one gateway comes to the next with the same key.
	It("cancel only the runs that they started", func() {
		b, err := bed.Open(bed.Config{Engines: 1, Gateways: 2, Engine: engine.Config{TokenTime: 20 * time.Millisecond}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(b.Close)
		for i, g := range b.Gateways {
			Expect(g.Apply(gateway.Update{Gateways: b.Addresses()[i : i+1]})).To(Succeed())
		}
		c := client.New(client.Config{SeedAddresses: b.Seeds()[1:], Credential: bed.Credential, RandomSeed: 1})
		Expect(c.Open()).To(Succeed())
		DeferCleanup(c.Close)
		// The answer takes three times as long as a gateway waits for its caller.
		r := client.Request{Key: "k", Idempotent: true, Model: bed.ModelName, Prompt: "p", MaxTokens: 150, Deadline: 20 * time.Second}
		lost := submitRaw(b.Seeds()[0], r)
		answer, err := c.Submit(r, func(p client.Piece) {
			if p.Index == 0 {
				Expect(lost.Close()).To(Succeed())
			}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Text).To(Equal(engine.CompletionText(bed.ModelName, "", r.Prompt, r.MaxTokens)))
		Expect(answer.Attempts).To(Equal(1))
	})
})

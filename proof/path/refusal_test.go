package path_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/client"
	"github.com/sycamorecourse/sycamorecourse/proof/bed"
	"github.com/sycamorecourse/sycamorecourse/standin/engine"
)

var _ = Describe("A gateway, with callers that do wrong", Ordered, func() {
	var b *bed.Bed

	BeforeAll(func() {
		var err error
		b, err = bed.Open(bed.Config{Engines: 1, Gateways: 1, Engine: engine.Config{TokenTime: time.Millisecond}})
		Expect(err).NotTo(HaveOccurred())
	})

	// Whatever a caller did, the next one is served.
	AfterEach(func() {
		c := client.New(client.Config{SeedAddresses: b.Seeds(), Credential: bed.Credential, RandomSeed: 1})
		Expect(c.Open()).To(Succeed())
		_, err := c.Submit(client.Request{
			Key: CurrentSpecReport().LeafNodeText, Idempotent: true, Model: bed.ModelName, Prompt: "p", MaxTokens: 2, Deadline: 20 * time.Second,
		}, nil)
		Expect(c.Close()).To(Succeed())
		if err != nil {
			// The name of the spec is no key; the gateway must have said so.
			Expect(err.(*client.RefusedError).Reason).To(Equal("bad_request"))
		}
	})

	AfterAll(func() { Expect(b.Close()).To(Succeed()) })

	ask := func(method, path, credential, body string) (int, caller.Problem) {
		GinkgoHelper()
		r, err := http.NewRequest(method, "http://"+b.Seeds()[0]+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+credential)
		transport := &http.Transport{DisableKeepAlives: true}
		response, err := (&http.Client{Transport: transport, Timeout: 20 * time.Second}).Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		raw, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		var p caller.Problem
		Expect(json.Unmarshal(raw, &p)).To(Succeed())
		Expect(response.Header.Get("Content-Type")).To(Equal(caller.ProblemMediaType))
		return response.StatusCode, p
	}

	submit := func(fields string) string {
		return `{"key":"k","idempotent":true,"model":"route-llm","prompt":"p","max_tokens":4` + fields + `}`
	}

	DescribeTable("answers with problem details and the outcome",
		func(method, path, credential, body string, status int, reason string) {
			got, p := ask(method, path, credential, body)
			Expect(got).To(Equal(status))
			Expect(p.Title).To(Equal(reason))
			Expect(p.Outcome).To(Equal("not_run"))
		},
		Entry("no credential", "POST", caller.RequestsPath, "", submit(""), 401, "unauthorized"),
		Entry("a wrong credential", "POST", caller.RequestsPath, "wrong", submit(""), 401, "unauthorized"),
		Entry("bad JSON", "POST", caller.RequestsPath, bed.Credential, "{", 400, "bad_request"),
		Entry("an unknown field", "POST", caller.RequestsPath, bed.Credential, submit(`,"more":1`), 400, "bad_request"),
		Entry("an unknown model", "POST", caller.RequestsPath, bed.Credential, strings.Replace(submit(""), "route-llm", "none", 1), 400, "bad_request"),
		Entry("no tokens", "POST", caller.RequestsPath, bed.Credential, strings.Replace(submit(""), `"max_tokens":4`, `"max_tokens":0`, 1), 400, "bad_request"),
		Entry("an over-long key", "POST", caller.RequestsPath, bed.Credential, strings.Replace(submit(""), `"k"`, fmt.Sprintf("%q", strings.Repeat("k", 200)), 1), 400, "bad_request"),
		Entry("a key that is not known", "GET", caller.RequestsPath+"/none", bed.Credential, "", 404, "not_found"),
		Entry("a path that is not there", "GET", "/v2", bed.Credential, "", 404, "not_found"),
		Entry("an unknown service", "GET", caller.ServicesPath+"none/x", bed.Credential, "", 404, "not_found"),
		Entry("a non-idempotent call without a key", "POST", caller.ServicesPath+bed.ServiceName+"/boardings/1", bed.Credential, "on", 400, "bad_request"),
	)

	It("drops a caller whose body is over the limit", func() {
		conn, err := net.Dial("tcp", b.Seeds()[0])
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", caller.RequestsPath, 64<<20)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
		chunk := []byte(strings.Repeat("x", 1<<20))
		for err == nil {
			_, err = conn.Write(chunk)
		}
		Expect(err.(net.Error).Timeout()).To(BeFalse(), "the connection was not ended")
	})

	It("is not held up by a caller that sends half a request and vanishes", func() {
		conn, err := net.Dial("tcp", b.Seeds()[0])
		Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Le", caller.RequestsPath)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
	})
})

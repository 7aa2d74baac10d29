package engine_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/standin/engine"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
)

func TestEngine(t *testing.T) {
	hosttest.Run(t, "model engine")
}

// start runs an engine until the end of the spec.
func start(config engine.Config) *engine.Engine {
	config.Address = "127.0.0.1:0"
	if config.Models == nil {
		config.Models = []engine.Model{{Name: "m", Version: "1"}}
	}
	e := engine.New(config)
	Expect(e.Open()).To(Succeed())
	hosttest.Start(e)
	return e
}

// prompt returns a text of distinct words, which are tokens.
func prompt(words int) string {
	list := make([]string, words)
	for i := range list {
		list[i] = fmt.Sprintf("w%d", i)
	}
	return strings.Join(list, " ")
}

func newRequest(id, text string, maxTokens int) engine.Request {
	return engine.Request{Model: "m", Prompt: text, MaxTokens: maxTokens, Stream: true, RequestID: id}
}

// submit opens the stream of a request.
func submit(e *engine.Engine, request engine.Request) *hosttest.Stream {
	s := hosttest.OpenStream(http.MethodPost, e.Address(), "/v1/completions", request)
	Expect(s.Status).To(Equal(http.StatusOK))
	return s
}

// nextChunk reads the next chunk of a stream.
func nextChunk(s *hosttest.Stream) engine.Chunk {
	data, err := s.Next()
	Expect(err).NotTo(HaveOccurred())
	var c engine.Chunk
	Expect(json.Unmarshal([]byte(data), &c)).To(Succeed(), data)
	Expect(c.Choices).To(HaveLen(1), data)
	return c
}

// rest reads a stream to its end and returns the text of the remaining chunks
// and the last chunk.
func rest(s *hosttest.Stream) (string, engine.Chunk) {
	var text strings.Builder
	var last engine.Chunk
	for {
		data, err := s.Next()
		Expect(err).NotTo(HaveOccurred())
		if data == "[DONE]" {
			return text.String(), last
		}
		last = engine.Chunk{}
		Expect(json.Unmarshal([]byte(data), &last)).To(Succeed(), data)
		Expect(last.Choices).To(HaveLen(1), data)
		text.WriteString(last.Choices[0].Text)
	}
}

// failureOf skips to the error event that ends a stream.
func failureOf(s *hosttest.Stream) host.FailureType {
	for {
		data, err := s.Next()
		Expect(err).NotTo(HaveOccurred())
		var f host.Failure
		Expect(json.Unmarshal([]byte(data), &f)).To(Succeed(), data)
		if f.Error.Type != "" {
			return f.Error.Type
		}
	}
}

func get(e *engine.Engine, path string, result any) {
	Expect(hosttest.SendJSON(http.MethodGet, e.Address(), path, nil, result)).To(Equal(http.StatusOK))
}

// runRecord returns the only run of a request.
func runRecord(e *engine.Engine, id string) engine.RunRecord {
	var w engine.AuditLog
	get(e, "/standin/runs", &w)
	for _, r := range w.Requests {
		if r.RequestID == id {
			Expect(r.Runs).To(HaveLen(1))
			return *r.Runs[0]
		}
	}
	return engine.RunRecord{}
}

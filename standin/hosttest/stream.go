package hosttest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Stream reads the server-sent events of one answer.
type Stream struct {
	// Status is the HTTP status.
	Status int

	body  io.ReadCloser
	lines *bufio.Reader
}

// OpenStream makes a call with a JSON body, which may be nil, and returns once
// the head of the answer is there. The spec closes it at its end.
func OpenStream(method, address, path string, body any) *Stream {
	raw, err := json.Marshal(body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(raw))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s := &Stream{Status: response.StatusCode, body: response.Body, lines: bufio.NewReader(response.Body)}
	ginkgo.DeferCleanup(s.Close)
	return s
}

// Next returns the data of the next event, or the error that ends the stream.
func (s *Stream) Next() (string, error) {
	for {
		line, err := s.lines.ReadString('\n')
		if err != nil {
			return "", err
		}
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			return data, nil
		}
	}
}

// Close ends the connection.
func (s *Stream) Close() {
	_ = s.body.Close()
}

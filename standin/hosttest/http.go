package hosttest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/onsi/gomega"
)

// Send makes a blocking HTTP call and returns the whole answer.
func Send(method, address, path string, header http.Header, body []byte) (int, http.Header, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for name, values := range header {
		request.Header[name] = values
	}
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, content, err
}

// SendJSON makes a blocking call with a JSON body and decodes the JSON answer
// into result, which may be nil. It returns the status.
func SendJSON(method, address, path string, body, result any) int {
	var raw []byte
	if body != nil {
		var err error
		raw, err = json.Marshal(body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
	status, _, content, err := Send(method, address, path, nil, raw)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	if result != nil {
		gomega.Expect(json.Unmarshal(content, result)).To(gomega.Succeed(), string(content))
	}
	return status
}

// SetFaults switches the faults of the stand-in at an address.
func SetFaults(address string, faults any) {
	gomega.Expect(SendJSON(http.MethodPost, address, "/standin/faults", faults, nil)).To(gomega.Equal(http.StatusOK))
}

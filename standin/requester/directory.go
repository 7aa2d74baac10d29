package requester

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
)

// Resolve asks a directory for the addresses of a host. It fails with a
// *DirectoryError, or as the client does.
func Resolve(client *http.Client, directory, host, region, failureDomain string) ([]string, error) {
	query := url.Values{"name": {host}, "region": {region}, "zone": {failureDomain}}
	res, err := client.Get("http://" + directory + "/-/resolve?" + query.Encode())
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	var list struct {
		Addresses []string `json:"addrs"`
	}
	if res.StatusCode != http.StatusOK || json.Unmarshal(text, &list) != nil || len(list.Addresses) == 0 {
		return nil, &DirectoryError{Status: res.StatusCode, Text: string(text)}
	}
	return list.Addresses, nil
}

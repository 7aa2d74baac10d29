package requester

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
)

// Resolve asks the directory service at the address directory for the addresses of
// host, for a caller in a region and failure domain. It returns a *DirectoryError
// if the response has no addresses, or the error of the HTTP client.
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
		return nil, &DirectoryError{Status: res.StatusCode, Body: string(text)}
	}
	return list.Addresses, nil
}

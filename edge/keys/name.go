package keys

import (
	"crypto/x509"
	"net/url"
	"regexp"
	"strings"
)

// scheme is the scheme of the URI that names a process in its certificate.
const scheme = "sycamore"

var partPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Name names a process: its role and its entry instance.
type Name struct {
	// Role is gateway or controller.
	Role string
	// Instance names the entry instance.
	Instance string
}

// NameOf returns the name that a certificate carries. It fails with a
// *NameError when it carries none.
func NameOf(certificate *x509.Certificate) (Name, error) {
	for _, uri := range certificate.URIs {
		instance := strings.TrimPrefix(uri.Path, "/")
		if uri.Scheme == scheme && uri.Host != "" && instance != "" {
			return Name{Role: uri.Host, Instance: instance}, nil
		}
	}
	return Name{}, &NameError{Subject: certificate.Subject.CommonName}
}

// String implements fmt.Stringer: ROLE/INSTANCE.
func (n Name) String() string {
	return n.Role + "/" + n.Instance
}

// check returns nil or an *InvalidNameError.
func (n Name) check() error {
	if !partPattern.MatchString(n.Role) || !partPattern.MatchString(n.Instance) {
		return &InvalidNameError{Name: n}
	}
	return nil
}

func (n Name) uri() *url.URL {
	return &url.URL{Scheme: scheme, Host: n.Role, Path: "/" + n.Instance}
}

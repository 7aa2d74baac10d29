package keys

import (
	"crypto/x509"
	"net/url"
	"regexp"
	"strings"
)

// scheme is the URI scheme of an identity in a certificate.
const scheme = "sycamore"

// partPattern matches a role or instance that is safe in file names and URIs.
var partPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Identity identifies a process by its role and its entry instance.
type Identity struct {
	// Role is gateway or controller.
	Role string
	// Instance is the name of the entry instance.
	Instance string
}

// IdentityOf returns the identity in a certificate. It fails with a
// *NoIdentityError if the certificate has none.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	for _, uri := range certificate.URIs {
		instance := strings.TrimPrefix(uri.Path, "/")
		if uri.Scheme == scheme && uri.Host != "" && instance != "" {
			return Identity{Role: uri.Host, Instance: instance}, nil
		}
	}
	return Identity{}, &NoIdentityError{Subject: certificate.Subject.CommonName}
}

// String implements fmt.Stringer. It returns ROLE/INSTANCE.
func (i Identity) String() string {
	return i.Role + "/" + i.Instance
}

// validate returns nil or an *InvalidIdentityError.
func (i Identity) validate() error {
	if !partPattern.MatchString(i.Role) || !partPattern.MatchString(i.Instance) {
		return &InvalidIdentityError{Identity: i}
	}
	return nil
}

func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: scheme, Host: i.Role, Path: "/" + i.Instance}
}

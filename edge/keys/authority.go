package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net/url"
	"time"
)

const (
	// authorityName is the common name of the certificate authority.
	authorityName = "sycamorecourse"
	// backdate sets the start of the validity back, so that a process whose clock
	// is behind accepts a new certificate.
	backdate = time.Hour
	// serialBits is the length of a random serial number in bits.
	serialBits = 120
)

// Authority is a certificate authority that signs with ECDSA on P-256.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pair        *KeyPair
}

// NewAuthority creates a certificate authority that is valid for the given time.
// It fails with an *IssueError.
func NewAuthority(valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &IssueError{Subject: authorityName, Err: err}
	}
	template, err := newTemplate(authorityName, valid)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, &IssueError{Subject: authorityName, Err: err}
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &IssueError{Subject: authorityName, Err: err}
	}
	pair, err := newKeyPair(authorityName, der, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key, pair: pair}, nil
}

// KeyPair returns the authority's own certificate and key.
func (a *Authority) KeyPair() *KeyPair {
	return a.pair
}

// Issue creates a key and a certificate for a process, valid as a TLS client and
// as a TLS server. It fails with an *InvalidIdentityError or an *IssueError.
func (a *Authority) Issue(identity Identity, valid time.Duration) (*KeyPair, error) {
	if err := identity.validate(); err != nil {
		return nil, err
	}
	subject := identity.String()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &IssueError{Subject: subject, Err: err}
	}
	template, err := newTemplate(subject, valid)
	if err != nil {
		return nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.URIs = []*url.URL{identity.uri()}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, &IssueError{Subject: subject, Err: err}
	}
	return newKeyPair(subject, der, key)
}

// newTemplate returns the fields that all certificates have in common.
func newTemplate(subject string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, &IssueError{Subject: subject, Err: err}
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: subject},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(valid),
	}, nil
}

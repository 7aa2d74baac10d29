package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// Load reads the files and returns a configuration for mutual TLS 1.3 with the
// given ALPN protocol, for clients and servers. Each side rejects a peer whose
// certificate is not signed by the authority or holds no identity. It fails with
// a *LoadError.
func Load(files Files, protocol string) (*tls.Config, error) {
	own, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, &LoadError{File: files.Certificate, Err: err}
	}
	raw, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, &LoadError{File: files.Authority, Err: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return nil, &LoadError{File: files.Authority}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{own},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		// The certificate holds a process identity and no host name, so verifyPeer
		// replaces the library's verification, which requires the host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, roots)
		},
		// A resumed session would skip the verification of the certificate.
		SessionTicketsDisabled: true,
	}, nil
}

// verifyPeer checks that the peer's certificate holds an identity and is signed
// by the authority.
func verifyPeer(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return &NoIdentityError{Subject: "a peer without a certificate"}
	}
	leaf := state.PeerCertificates[0]
	if _, err := IdentityOf(leaf); err != nil {
		return err
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:     roots,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

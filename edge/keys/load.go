package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// Load reads the files and returns a configuration for mutual TLS 1.3 under
// the given application protocol. Each side refuses a peer whose certificate
// does not come from the authority or names no process. It fails with a
// *LoadError.
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
		// The certificate names a process rather than a host, so the library's
		// check of the host name is replaced by verifyPeer.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, roots)
		},
		// A resumed session would skip the check of the certificate.
		SessionTicketsDisabled: true,
	}, nil
}

func verifyPeer(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return &NameError{Subject: "a peer without a certificate"}
	}
	leaf := state.PeerCertificates[0]
	if _, err := NameOf(leaf); err != nil {
		return err
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:     roots,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

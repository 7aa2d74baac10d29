package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
)

// Pair is a certificate with its private key, both in PEM.
type Pair struct {
	// Certificate is the PEM of the certificate.
	Certificate []byte
	// Key is the PEM of the private key.
	Key []byte
}

func newPair(subject string, der []byte, key *ecdsa.PrivateKey) (*Pair, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, &IssueError{Subject: subject, Err: err}
	}
	return &Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}),
	}, nil
}

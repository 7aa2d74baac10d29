package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
)

// KeyPair holds a certificate and its private key, both PEM-encoded.
type KeyPair struct {
	// Certificate is the certificate.
	Certificate []byte
	// Key is the private key in PKCS #8.
	Key []byte
}

// newKeyPair encodes a certificate in DER and its private key.
func newKeyPair(subject string, der []byte, key *ecdsa.PrivateKey) (*KeyPair, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, &IssueError{Subject: subject, Err: err}
	}
	return &KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}),
	}, nil
}

package keys

// Files are the paths of what a process needs to prove its name and to check
// the names of others.
type Files struct {
	// Certificate is the PEM file of the process's certificate.
	Certificate string
	// Key is the PEM file of its private key.
	Key string
	// Authority is the PEM file of the certificate authority.
	Authority string
}

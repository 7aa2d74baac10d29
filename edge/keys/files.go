package keys

// Files holds the paths of the files that a process needs to authenticate itself
// and its peers.
type Files struct {
	// Certificate is the path of the PEM file with the process's certificate.
	Certificate string
	// Key is the path of the PEM file with the process's private key.
	Key string
	// Authority is the path of the PEM file with the authority's certificate.
	Authority string
}

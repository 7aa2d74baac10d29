package keys

import (
	"os"
	"path/filepath"
	"time"
)

const (
	keyMode         = 0o600
	certificateMode = 0o644
	directoryMode   = 0o700
	// authorityFile is the name of the authority's files without the extension.
	authorityFile = "ca"
)

// FilesIn returns the paths of a process's files in a directory written by
// GenerateFiles.
func FilesIn(directory string, identity Identity) Files {
	base := filepath.Join(directory, identity.Role+"-"+identity.Instance)
	return Files{
		Certificate: base + ".crt",
		Key:         base + ".key",
		Authority:   filepath.Join(directory, authorityFile+".crt"),
	}
}

// GenerateFiles creates an authority and a certificate for each identity, and
// writes them to a directory. It never replaces a file. It fails with an
// *InvalidIdentityError, an *IssueError or a *WriteError.
func GenerateFiles(directory string, identities []Identity, valid time.Duration) error {
	for _, identity := range identities {
		if err := identity.validate(); err != nil {
			return err
		}
	}
	authority, err := NewAuthority(valid)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return &WriteError{File: directory, Err: err}
	}
	base := filepath.Join(directory, authorityFile)
	if err := writeKeyPair(authority.KeyPair(), base+".crt", base+".key"); err != nil {
		return err
	}
	for _, identity := range identities {
		pair, err := authority.Issue(identity, valid)
		if err != nil {
			return err
		}
		files := FilesIn(directory, identity)
		if err := writeKeyPair(pair, files.Certificate, files.Key); err != nil {
			return err
		}
	}
	return nil
}

func writeKeyPair(pair *KeyPair, certificateFile, keyFile string) error {
	if err := writeNew(certificateFile, pair.Certificate, certificateMode); err != nil {
		return err
	}
	return writeNew(keyFile, pair.Key, keyMode)
}

// writeNew writes a file that must not exist yet.
func writeNew(path string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return &WriteError{File: path, Err: err}
	}
	_, err = file.Write(content)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return &WriteError{File: path, Err: err}
	}
	return nil
}

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
	// authorityFile is the name of the authority's files without extension.
	authorityFile = "ca"
)

// FilesIn returns the paths of a process's files in a directory written by
// WriteAll.
func FilesIn(directory string, name Name) Files {
	base := filepath.Join(directory, name.Role+"-"+name.Instance)
	return Files{
		Certificate: base + ".crt",
		Key:         base + ".key",
		Authority:   filepath.Join(directory, authorityFile+".crt"),
	}
}

// WriteAll makes an authority and a certificate for each name, and writes them
// to a directory. It never replaces a file. It fails with an *InvalidNameError,
// an *IssueError or a *WriteError.
func WriteAll(directory string, names []Name, valid time.Duration) error {
	for _, name := range names {
		if err := name.check(); err != nil {
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
	if err := writePair(authority.Pair(), base+".crt", base+".key"); err != nil {
		return err
	}
	for _, name := range names {
		pair, err := authority.Issue(name, valid)
		if err != nil {
			return err
		}
		files := FilesIn(directory, name)
		if err := writePair(pair, files.Certificate, files.Key); err != nil {
			return err
		}
	}
	return nil
}

func writePair(pair *Pair, certificateFile, keyFile string) error {
	if err := writeNew(certificateFile, pair.Certificate, certificateMode); err != nil {
		return err
	}
	return writeNew(keyFile, pair.Key, keyMode)
}

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

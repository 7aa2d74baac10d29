package process

import (
	"os"
	"strconv"
	"syscall"
)

// descriptorsPath lists the open descriptors of this process.
const descriptorsPath = "/proc/self/fd"

// firstSealed is the first descriptor after the standard ones.
const firstSealed = 3

// Seal keeps programs that are started next from inheriting the descriptors of
// this process. The network library makes sockets without that mark, and a copy
// in a child would keep a connection open that this process has closed.
func Seal() error {
	entries, err := os.ReadDir(descriptorsPath)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		descriptor, err := strconv.Atoi(entry.Name())
		if err == nil && descriptor >= firstSealed {
			syscall.CloseOnExec(descriptor)
		}
	}
	return nil
}

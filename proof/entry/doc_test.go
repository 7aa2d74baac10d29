// Package entry_test proves the entry role against stand-ins of the users'
// platform: real processes' duties, real sockets, one test process.
package entry_test

import (
	"testing"

	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
)

func TestEntry(t *testing.T) { hosttest.Run(t, "entry") }

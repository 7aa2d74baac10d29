package host_test

import (
	"testing"

	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
)

func TestHost(t *testing.T) {
	hosttest.Run(t, "host of stand-ins")
}

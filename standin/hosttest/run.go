package hosttest

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/netlog"
)

// Run runs the specs of a package, without the log of the network library.
func Run(t *testing.T, name string) {
	netlog.Install(zerolog.Nop())
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, name)
}

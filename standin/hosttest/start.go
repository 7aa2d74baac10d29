package hosttest

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// Start runs a duty that was opened until the end of the spec.
func Start(d Duty) {
	t := thread.Start("test", d.Run)
	ginkgo.DeferCleanup(func() {
		d.Close()
		gomega.Expect(t.Join()).To(gomega.Succeed())
	})
}

// StartClient runs an HTTP client until the end of the spec.
func StartClient() *httpc.Client {
	client := httpc.New(httpc.Config{})
	gomega.Expect(client.Open()).To(gomega.Succeed())
	Start(client)
	return client
}

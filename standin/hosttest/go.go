package hosttest

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
)

// Go runs f beside the spec, which waits for its end.
func Go(f func()) {
	t := thread.Start("test", func() error {
		defer ginkgo.GinkgoRecover()
		f()
		return nil
	})
	ginkgo.DeferCleanup(func() { gomega.Expect(t.Join()).To(gomega.Succeed()) })
}

package intent_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

func TestIntent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intent")
}

var _ = Describe("Check", func() {
	It("reports each violation with its path", func() {
		d := intent.Document{
			Member:    "Noranbus",
			Pools:     []intent.Pool{{Name: "route-llm", Kind: intent.Engine, Model: "none", Replicas: 9, FailureDomains: []string{"seoul-a"}, MachineClasses: []string{"gpu"}, MaxConcurrent: 8}},
			Customers: []intent.Customer{{Name: "academy", CredentialSHA256: "x", Share: 0}},
		}
		err := intent.Check(&d)
		var invalid *intent.InvalidError
		Expect(err).To(BeAssignableToTypeOf(invalid))
		var paths []string
		for _, f := range err.(*intent.InvalidError).Violations {
			paths = append(paths, f.Path)
		}
		Expect(paths).To(ContainElements("member", "customers[0].credential_sha256", "customers[0].share", "pools[0].model"))
	})
})

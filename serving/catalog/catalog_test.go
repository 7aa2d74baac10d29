package catalog_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

var _ = Describe("Catalog", func() {
	routes := []*catalog.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}
	c := catalog.New(1, routes, nil, []*catalog.Customer{{Name: "n", Credentials: []string{"k"}}}, catalog.Limits{})

	DescribeTable("Route", func(host, path, want string) {
		found := c.Route(host, path)
		if want == "" {
			Expect(found).To(BeNil())
			return
		}
		Expect(found.Name).To(Equal(want))
	},
		Entry("takes the longest prefix", "a.example", "/x/y/z", "long"),
		Entry("falls back to a shorter one", "a.example", "/x/yz", "short"),
		Entry("returns nil for an unknown path", "a.example", "/z", ""),
		Entry("does not match a prefix without its trailing slash", "a.example", "/x", ""),
		Entry("keeps hosts apart", "b.example", "/x/y/z", "other"),
		Entry("ignores the port and the case", "A.example:80", "/x/q", "short"),
		Entry("returns nil for an unknown host", "c.example", "/x/", ""),
	)

	It("finds customers by credential", func() {
		Expect(c.Customer("k").Name).To(Equal("n"))
		Expect(c.Customer("")).To(BeNil())
		Expect(c.NeedsCredentials()).To(BeTrue())
	})

	It("lets only idempotent requests and resumable streams be repeated", func() {
		Expect((&catalog.Route{Kind: catalog.Idempotent}).MayRepeat()).To(BeTrue())
		Expect((&catalog.Route{Kind: catalog.Stream, Resumable: true}).MayRepeat()).To(BeTrue())
		Expect((&catalog.Route{Kind: catalog.Stream}).MayRepeat()).To(BeFalse())
		Expect((&catalog.Route{Kind: catalog.NonIdempotent, Resumable: true}).MayRepeat()).To(BeFalse())
	})
})

package keys_test

import (
	"crypto/x509"
	"encoding/pem"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/edge/keys"
)

func TestKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keys")
}

var _ = Describe("GenerateFiles", func() {
	It("writes certificates with the identity of their process, and never replaces one", func() {
		directory, identity := GinkgoT().TempDir(), keys.Identity{Role: "gateway", Instance: "a.1"}
		Expect(keys.GenerateFiles(directory, []keys.Identity{identity}, time.Hour)).To(Succeed())
		files := keys.FilesIn(directory, identity)
		raw, err := os.ReadFile(files.Certificate)
		Expect(err).NotTo(HaveOccurred())
		block, _ := pem.Decode(raw)
		certificate, err := x509.ParseCertificate(block.Bytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys.IdentityOf(certificate)).To(Equal(identity))
		_, err = keys.Load(files, "p")
		Expect(err).NotTo(HaveOccurred())
		info, err := os.Stat(files.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
		Expect(keys.GenerateFiles(directory, nil, time.Hour)).To(BeAssignableToTypeOf(&keys.WriteError{}))
	})

	It("rejects an identity whose file names would lie outside the directory", func() {
		bad := []keys.Identity{{Role: "gateway", Instance: "../a"}}
		Expect(keys.GenerateFiles(GinkgoT().TempDir(), bad, time.Hour)).To(BeAssignableToTypeOf(&keys.InvalidIdentityError{}))
	})
})

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

var _ = Describe("WriteAll", func() {
	It("writes certificates that name their process, and never replaces one", func() {
		directory, name := GinkgoT().TempDir(), keys.Name{Role: "gateway", Instance: "a.1"}
		Expect(keys.WriteAll(directory, []keys.Name{name}, time.Hour)).To(Succeed())
		files := keys.FilesIn(directory, name)
		raw, err := os.ReadFile(files.Certificate)
		Expect(err).NotTo(HaveOccurred())
		block, _ := pem.Decode(raw)
		certificate, err := x509.ParseCertificate(block.Bytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys.NameOf(certificate)).To(Equal(name))
		_, err = keys.Load(files, "p")
		Expect(err).NotTo(HaveOccurred())
		info, err := os.Stat(files.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
		Expect(keys.WriteAll(directory, nil, time.Hour)).To(BeAssignableToTypeOf(&keys.WriteError{}))
	})

	It("refuses a name that would leave the directory", func() {
		bad := []keys.Name{{Role: "gateway", Instance: "../a"}}
		Expect(keys.WriteAll(GinkgoT().TempDir(), bad, time.Hour)).To(BeAssignableToTypeOf(&keys.InvalidNameError{}))
	})
})

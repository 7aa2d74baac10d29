package admit_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdmit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admit")
}

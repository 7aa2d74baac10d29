package soak_test

import (
	"fmt"
	"io"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/proof/soak/judge"
)

const (
	// mostFindings and longestFinding, in characters, bound what printFindings prints.
	mostFindings   = 10
	longestFinding = 400
)

// finding is an invariant that a seed of a soak has broken.
type finding struct {
	soak string
	seed uint64
	judge.Violation
}

// findings are those of this run. One thread uses them.
var findings []finding

// expectNothing plays one seed of a soak, which must break nothing. The logs stay if it does.
func expectNothing(name string, seed uint64, play func(seed uint64, directory string) []judge.Violation) {
	GinkgoHelper()
	directory, err := os.MkdirTemp("", fmt.Sprintf("%s-%d-", name, seed))
	Expect(err).NotTo(HaveOccurred())
	found := play(seed, directory)
	if len(found) == 0 {
		Expect(os.RemoveAll(directory)).To(Succeed())
	}
	for _, v := range found {
		findings = append(findings, finding{soak: name, seed: seed, Violation: v})
	}
	Expect(found).To(BeEmpty(), "the logs are in "+directory)
}

// printFindings prints the findings, one a line. They come at the end of the output, which a
// record of a run keeps if it keeps anything.
func printFindings(to io.Writer) error {
	for _, f := range findings[:min(len(findings), mostFindings)] {
		line := fmt.Sprintf("finding soak=%s seed=%d rule=%q id=%s detail=%q", f.soak, f.seed, f.Rule, f.ID, f.Detail)
		if _, err := fmt.Fprintf(to, "%.*s\n", longestFinding, line); err != nil {
			return err
		}
	}
	if left := len(findings) - mostFindings; left > 0 {
		_, err := fmt.Fprintf(to, "finding left_out=%d\n", left)
		return err
	}
	return nil
}

package process

import (
	"bufio"
	"io"
	"os"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// maxLineBytes bounds a line of output.
const maxLineBytes = 4 << 20

// output copies one output of a process into a file, line by line, and offers
// the first line that says that the process is ready.
type output struct {
	from  io.Reader
	to    *os.File
	ready func(line string) (Fields, bool)
	found *ring.Ring[Fields]
}

// run is the duty. It returns when the process has closed its output.
func (o *output) run() error {
	lines := bufio.NewScanner(o.from)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if fields, ok := o.ready(lines.Text()); ok {
			// Only the first one is wanted.
			_ = o.found.Offer(fields)
		}
		if _, err := o.to.WriteString(lines.Text() + "\n"); err != nil {
			return err
		}
	}
	return lines.Err()
}

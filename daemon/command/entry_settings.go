package command

import (
	"os"

	"github.com/sycamorecourse/sycamorecourse/edge/settings"
	"github.com/sycamorecourse/sycamorecourse/platform/boot"
)

// entrySettings are the settings of the entry role that are not in the
// platform's settings file.
type entrySettings struct {
	nodeFile string
	logLevel string
}

func (s *entrySettings) declare(set *settings.Set) {
	set.Text(&s.nodeFile, "node-file", os.Getenv(boot.Variable), "the platform's settings file; by default $"+boot.Variable, true)
	set.OneOf(&s.logLevel, "log-level", "info", "the least level that is logged", "debug", "info", "warn", "error")
}

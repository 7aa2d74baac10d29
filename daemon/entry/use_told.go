package entry

import "github.com/sycamorecourse/sycamorecourse/edge/httpd"

// useTold is the news of another holder of limits.
type useTold struct {
	exchange *httpd.Exchange
}

func (useTold) isDispatchMessage() {}

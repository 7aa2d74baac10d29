package host

import "github.com/sycamorecourse/sycamorecourse/edge/httpd"

// event is a message to the duty of a host. Exactly one field is set.
type event struct {
	served *httpd.Exchange
	gone   *httpd.Exchange
	run    func()
}

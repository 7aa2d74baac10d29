package site

import "github.com/sycamorecourse/sycamorecourse/coord/thread"

// running is a duty on its thread.
type running struct {
	duty   duty
	thread *thread.Thread
}

func run(name string, d duty) *running {
	return &running{duty: d, thread: thread.Start(name, d.Run)}
}

// stop ends the duty and waits for it.
func (r *running) stop() error {
	r.duty.Close()
	return r.thread.Join()
}

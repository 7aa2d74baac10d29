package httpc_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// fullListener returns the address of a listener that never accepts and whose
// accept queue is full, so that no further connection is established.
func fullListener() string {
	GinkgoHelper()
	socket := func() int {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(unix.Close, fd)
		return fd
	}
	ln := socket()
	Expect(unix.Bind(ln, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(unix.Listen(ln, 0)).To(Succeed())
	name, err := unix.Getsockname(ln)
	Expect(err).NotTo(HaveOccurred())
	address := name.(*unix.SockaddrInet4)
	for range 4 {
		Expect(unix.Connect(socket(), address)).To(Or(Succeed(), MatchError(unix.EINPROGRESS)))
	}
	return fmt.Sprintf("127.0.0.1:%d", address.Port)
}

var _ = Describe("Client, when a connection is never established", func() {
	It("fails the call with NotSentError at the connect timeout", func() {
		client := httpc.New(httpc.Config{ConnectTimeout: 100 * time.Millisecond})
		Expect(client.Open()).To(Succeed())
		running := thread.Start("client", client.Run)
		r := newRecorder()
		Expect(client.Start(&httpc.Call{Address: fullListener(), Method: "GET", Path: "/", Sink: r})).To(Succeed())
		err, ok, _ := r.ended.TakeUntil(10 * time.Second)
		Expect(ok).To(BeTrue(), "the sink was not called")
		var notSent *httpc.NotSentError
		var late *httpc.TimeoutError
		Expect(err).To(BeAssignableToTypeOf(notSent))
		Expect(err.(*httpc.NotSentError).Err).To(BeAssignableToTypeOf(late))
		client.Close()
		Expect(running.Join()).To(Succeed())
	})
})

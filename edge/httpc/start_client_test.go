package httpc_test

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// startClient runs a client and the server behind a listener until the end of the spec.
// The server must end when its listener and the client are closed.
func startClient(ln net.Listener, server func() error) *httpc.Client {
	GinkgoHelper()
	client := httpc.New(httpc.Config{})
	Expect(client.Open()).To(Succeed())
	threads := []*thread.Thread{thread.Start("client", client.Run), thread.Start("server", server)}
	DeferCleanup(func() {
		client.Close()
		_ = ln.Close()
		for _, t := range threads {
			Expect(t.Join()).To(Succeed())
		}
	})
	return client
}

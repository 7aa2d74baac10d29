package table_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/row"
	client "github.com/sycamorecourse/sycamorecourse/edge/platform/table"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
	"github.com/sycamorecourse/sycamorecourse/standin/table"
)

func TestTable(t *testing.T) {
	hosttest.Run(t, "table service and its client")
}

var _ = Describe("Client and Table", func() {
	const shortTimeout = 200 * time.Millisecond

	var (
		service *table.Table
		rows    *client.Client
		hasty   *client.Client
		key     = row.Key{Partition: "p", Sort: "a"}
	)

	open := func(config table.Config) {
		config.Address = "127.0.0.1:0"
		service = table.New(config)
		Expect(service.Open()).To(Succeed())
		hosttest.Start(service)
		http := hosttest.StartClient()
		rows = client.New(client.Config{Address: service.Address(), Timeout: 20 * time.Second}, http)
		hasty = client.New(client.Config{Address: service.Address(), Timeout: shortTimeout}, http)
	}

	BeforeEach(func() { open(table.Config{}) })

	read := func(k row.Key) (row.Row, error) {
		p := hosttest.NewPending[row.Row]()
		rows.Read(k, p.Done)
		return p.Wait()
	}
	write := func(c *client.Client, changes ...row.Change) error {
		p := hosttest.NewPending[struct{}]()
		c.Write(row.Transaction{Changes: changes}, p.Err)
		_, err := p.Wait()
		return err
	}
	list := func(partition, prefix string) ([]row.Row, error) {
		p := hosttest.NewPending[[]row.Row]()
		rows.List(partition, prefix, p.Done)
		return p.Wait()
	}
	faults := func(f host.Faults) { hosttest.SetFaults(service.Address(), f) }

	It("writes, reads and deletes rows by version", func() {
		Expect(read(key)).To(Equal(row.Row{Key: key}))
		Expect(write(rows, row.Change{Key: key, Value: []byte("one")})).To(Succeed())
		Expect(write(rows, row.Change{Key: key, Expect: 1, Value: []byte("two")})).To(Succeed())
		Expect(read(key)).To(Equal(row.Row{Key: key, Version: 2, Value: []byte("two")}))
		Expect(write(rows, row.Change{Key: key, Expect: 2, Delete: true})).To(Succeed())
		Expect(read(key)).To(Equal(row.Row{Key: key}))
	})

	It("keeps an empty value", func() {
		Expect(write(rows, row.Change{Key: key})).To(Succeed())
		found, err := read(key)
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Version).To(Equal(uint64(1)))
		Expect(found.Value).To(BeEmpty())
	})

	It("makes all changes of a transaction or none, and names the conflict", func() {
		other := row.Key{Partition: "q", Sort: "b"}
		Expect(write(rows, row.Change{Key: key, Value: []byte("one")})).To(Succeed())
		err := write(rows, row.Change{Key: other, Value: []byte("x")}, row.Change{Key: key, Expect: 7, Check: true})
		Expect(err).To(Equal(&row.ConflictError{Key: key}))
		Expect(read(other)).To(Equal(row.Row{Key: other}))
		Expect(write(rows, row.Change{Key: other, Value: []byte("x")}, row.Change{Key: key, Expect: 1, Check: true})).To(Succeed())
		Expect(write(rows, row.Change{Key: key, Value: []byte("again")})).To(Equal(&row.ConflictError{Key: key}))
	})

	It("lists a prefix over several pages, in order", func() {
		open(table.Config{PageItems: 7})
		for i := range 40 {
			k := row.Key{Partition: "p", Sort: fmt.Sprintf("in/%03d", (i*17)%40)}
			Expect(write(rows, row.Change{Key: k, Value: []byte("v")})).To(Succeed())
		}
		Expect(write(rows, row.Change{Key: row.Key{Partition: "p", Sort: "out"}})).To(Succeed())
		found, err := list("p", "in/")
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(HaveLen(40))
		for i, r := range found {
			Expect(r.Key.Sort).To(Equal(fmt.Sprintf("in/%03d", i)))
		}
		Expect(list("p", "")).To(HaveLen(41))
		Expect(list("none", "in/")).To(BeEmpty())
	})

	DescribeTable("tells a write that surely did nothing",
		func(f host.Faults) {
			faults(f)
			// The first call takes what the rate limit holds.
			_, _ = read(key)
			err := write(rows, row.Change{Key: key, Value: []byte("one")})
			Expect(err).To(BeAssignableToTypeOf(&row.UnavailableError{}))
			faults(host.Faults{})
			Expect(read(key)).To(Equal(row.Row{Key: key}))
		},
		Entry("when the service is down", host.Faults{Down: true}),
		Entry("when the service throttles", host.Faults{ThrottlePerSecond: 0.0001}),
	)

	DescribeTable("tells a write whose outcome is unknown",
		func(f host.Faults, version uint64) {
			faults(f)
			err := write(rows, row.Change{Key: key, Value: []byte("one")})
			Expect(err).To(BeAssignableToTypeOf(&row.UnknownError{}))
			faults(host.Faults{})
			found, err := read(key)
			Expect(err).NotTo(HaveOccurred())
			Expect(found.Version).To(Equal(version))
		},
		Entry("when the answer is lost after the write", host.Faults{LoseAnswers: 1}, uint64(1)),
		Entry("when the request is lost before the write", host.Faults{LoseRequests: 1}, uint64(0)),
		Entry("when the connection is cut", host.Faults{Down: true, Mode: host.ModeCut}, uint64(0)),
		Entry("when the service fails inside", host.Faults{Down: true, Mode: host.ModeError}, uint64(0)),
	)

	It("does not know a write that timed out, which may take effect later", func() {
		faults(host.Faults{SlowMillis: 2 * shortTimeout.Milliseconds()})
		err := write(hasty, row.Change{Key: key, Value: []byte("one")})
		Expect(err).To(BeAssignableToTypeOf(&row.UnknownError{}))
		faults(host.Faults{})
		Eventually(func() uint64 {
			found, err := read(key)
			Expect(err).NotTo(HaveOccurred())
			return found.Version
		}).WithTimeout(20 * time.Second).Should(Equal(uint64(1)))
	})

	It("holds answers while frozen and sends them afterwards", func() {
		faults(host.Faults{Freeze: true})
		p := hosttest.NewPending[struct{}]()
		rows.Write(row.Transaction{Changes: []row.Change{{Key: key}}}, p.Err)
		err := write(hasty, row.Change{Key: row.Key{Partition: "p", Sort: "other"}})
		Expect(err).To(BeAssignableToTypeOf(&row.UnknownError{}))
		faults(host.Faults{})
		_, err = p.Wait()
		Expect(err).NotTo(HaveOccurred())
	})

	It("counts down the faults that are numbers and shows what is left", func() {
		faults(host.Faults{LoseRequests: 2})
		_, err := read(key)
		Expect(err).To(BeAssignableToTypeOf(&row.UnavailableError{}))
		var left host.Faults
		Expect(hosttest.SendJSON(http.MethodGet, service.Address(), "/standin/faults", nil, &left)).To(Equal(http.StatusOK))
		Expect(left).To(Equal(host.Faults{LoseRequests: 1}))
	})

	It("limits the rate of writes as configured", func() {
		open(table.Config{WritesPerSecond: 0.0001})
		Expect(write(rows, row.Change{Key: key})).To(Succeed())
		err := write(rows, row.Change{Key: key, Expect: 1})
		Expect(err).To(BeAssignableToTypeOf(&row.UnavailableError{}))
		Expect(err.Error()).To(ContainSubstring("ProvisionedThroughputExceededException"))
	})

	It("surely did nothing when nobody listens", func() {
		lost := client.New(client.Config{Address: "127.0.0.1:1"}, hosttest.StartClient())
		Expect(write(lost, row.Change{Key: key})).To(BeAssignableToTypeOf(&row.UnavailableError{}))
	})

	It("refuses what the protocol does not allow", func() {
		err := write(rows)
		Expect(err).To(BeAssignableToTypeOf(&row.UnavailableError{}))
		Expect(err.Error()).To(ContainSubstring("ValidationException"))
		err = write(rows, row.Change{Key: key}, row.Change{Key: key})
		Expect(err.Error()).To(ContainSubstring("ValidationException"))
	})
})

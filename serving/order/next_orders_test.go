package order_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/order"
)

func TestOrder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "order")
}

const now = clock.Instant(time.Hour)

var (
	desired = order.DesiredState{Models: []order.Model{{Name: "m", Version: "2"}}, Adapters: []string{"a"}, Role: order.ServeRole}
	old     = order.ModelState{Model: order.Model{Name: "m", Version: "1"}, State: order.ModelLoaded}
	loaded  = order.ModelState{Model: order.Model{Name: "m", Version: "2"}, State: order.ModelLoaded}
	loading = order.ModelState{Model: order.Model{Name: "m", Version: "2"}, State: order.ModelLoading}
)

func state(models ...order.ModelState) *order.State {
	return &order.State{Models: models, Adapters: []string{"a"}, Role: order.ServeRole}
}

func fleetOf(states map[string][]*order.State) map[string]*order.Engine {
	engines := map[string]*order.Engine{}
	for pool, list := range states {
		for i, s := range list {
			id := fmt.Sprintf("%s-%d", pool, i)
			engines[id] = &order.Engine{Instance: id, Pool: pool, Desired: desired, State: s, FencingChecked: true}
		}
	}
	return engines
}

func names(engines []*order.Engine) (list []string) {
	for _, e := range engines {
		list = append(list, e.Instance)
	}
	return list
}

var _ = Describe("Orders", func() {
	unrestricted := order.Limits{AllowUnchecked: true, MaxLoading: 10}

	It("gives orders to engines that differ, and none to those that serve or load", func() {
		extra := order.ModelState{Model: order.Model{Name: "other", Version: "1"}, State: order.ModelLoaded}
		engines := fleetOf(map[string][]*order.State{"p": {state(loaded), state(old, loading), state(old), state(), nil, state(loaded, extra)}})
		Expect(names(order.NextOrders(engines, unrestricted))).To(ConsistOf("p-2", "p-3", "p-5"))
		Expect(engines["p-0"].IsServing()).To(BeTrue())
		Expect(engines["p-1"].IsServing()).To(BeFalse())
		Expect(engines["p-1"].CanServe()).To(BeTrue(), "the old version is served until the new one is loaded")
		Expect(engines["p-3"].CanServe()).To(BeFalse())
	})

	It("gives no orders to engines that ignore fencing numbers before the wait is over", func() {
		engines := fleetOf(map[string][]*order.State{"p": {state(), state()}})
		engines["p-1"].FencingChecked = false
		Expect(names(order.NextOrders(engines, order.Limits{MaxLoading: 10}))).To(ConsistOf("p-0"))
		Expect(order.NextOrders(engines, unrestricted)).To(HaveLen(2))
	})

	It("reads the state back after a call without an answer before the next order", func() {
		engines := fleetOf(map[string][]*order.State{"p": {state()}})
		e := engines["p-0"]
		e.RecordFailure(now)
		Expect(order.NextOrders(engines, unrestricted)).To(BeEmpty())
		Expect(order.DueReads(engines, now.Add(time.Minute))).To(HaveLen(1))
		e.RecordState(state(), now)
		Expect(order.NextOrders(engines, unrestricted)).To(HaveLen(1))
	})

	It("loads where the smallest part of a pool is serving, up to the loading limit", func() {
		engines := fleetOf(map[string][]*order.State{
			"full":  {state(loaded), state(loaded), state(loaded), state()},
			"empty": {state(), state(), state(), state(old, loading)},
		})
		picked := names(order.NextOrders(engines, order.Limits{AllowUnchecked: true, MaxLoading: 3}))
		Expect(picked).To(Equal([]string{"empty-0", "empty-1"}))
		Expect(order.NextOrders(engines, order.Limits{AllowUnchecked: true, MaxLoading: 1})).To(BeEmpty())
	})
})

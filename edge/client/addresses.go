package client

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// addresses is the list of gateways as the system gave it, kept as long as it
// said.
type addresses struct {
	config Config
	http   *httpc.Client
	random *rand.Rand
	list   []caller.Address
	until  time.Time
	bad    map[string]bool
}

// pick chooses a gateway: by weight among those not found bad lately, else any.
func (a *addresses) pick() (string, error) {
	if time.Now().After(a.until) {
		a.refresh()
	}
	usable := a.usable()
	if len(usable) == 0 {
		a.bad = make(map[string]bool)
		a.refresh()
		usable = a.usable()
	}
	if len(usable) == 0 {
		return "", &NoAddressError{}
	}
	total := 0
	for _, u := range usable {
		total += max(u.Weight, 1)
	}
	at := a.random.IntN(total)
	for _, u := range usable {
		at -= max(u.Weight, 1)
		if at < 0 {
			return u.Address, nil
		}
	}
	return usable[0].Address, nil
}

// avoid keeps an address out until the list is asked for again.
func (a *addresses) avoid(address string) {
	a.bad[address] = true
}

// replace takes a list that came with a refusal.
func (a *addresses) replace(list []caller.Address) {
	if len(list) > 0 {
		a.list = list
	}
}

func (a *addresses) usable() []caller.Address {
	usable := make([]caller.Address, 0, len(a.list))
	for _, address := range a.list {
		if !a.bad[address.Address] {
			usable = append(usable, address)
		}
	}
	return usable
}

// refresh asks the known gateways, then the seeds, until one answers.
func (a *addresses) refresh() {
	candidates := a.usable()
	for _, seed := range a.config.Seeds {
		candidates = append(candidates, caller.Address{Address: seed})
	}
	for _, candidate := range candidates {
		list, ok := a.ask(candidate.Address)
		if ok && len(list.Addresses) > 0 {
			a.list = list.Addresses
			a.until = time.Now().Add(time.Duration(list.KeepSeconds) * time.Second)
			a.bad = make(map[string]bool)
			return
		}
	}
}

func (a *addresses) ask(address string) (caller.AddressList, bool) {
	s := newSink()
	call := &httpc.Call{
		Address: address,
		Method:  http.MethodGet,
		Path:    caller.AddressesPath,
		Timeout: a.config.AddressTimeout,
		Sink:    s,
	}
	if a.http.Start(call) != nil {
		return caller.AddressList{}, false
	}
	e, err := s.events.Take()
	if err != nil || e.err != nil || e.status != http.StatusOK {
		return caller.AddressList{}, false
	}
	var list caller.AddressList
	if json.Unmarshal(e.body, &list) != nil {
		return caller.AddressList{}, false
	}
	return list, true
}

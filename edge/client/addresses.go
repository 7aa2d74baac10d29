package client

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
)

// addresses caches the list of gateways for as long as the system allowed when it
// sent the list.
type addresses struct {
	config    Config
	http      *httpc.Client
	random    *rand.Rand
	list      []caller.Address
	expiresAt time.Time
	avoided   map[string]bool
}

// pick chooses a gateway at random by weight and leaves out avoided ones. If all are
// avoided, it stops avoiding any and fetches the list again.
func (a *addresses) pick() (string, error) {
	if time.Now().After(a.expiresAt) {
		a.refresh()
	}
	usable := a.usable()
	if len(usable) == 0 {
		a.avoided = make(map[string]bool)
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

// avoid excludes an address until the list is fetched again.
func (a *addresses) avoid(address string) {
	a.avoided[address] = true
}

// replace sets the list to one that came with a refusal, if it is not empty.
func (a *addresses) replace(list []caller.Address) {
	if len(list) > 0 {
		a.list = list
	}
}

func (a *addresses) usable() []caller.Address {
	usable := make([]caller.Address, 0, len(a.list))
	for _, address := range a.list {
		if !a.avoided[address.Address] {
			usable = append(usable, address)
		}
	}
	return usable
}

// refresh fetches the list from the known gateways, then from the seed addresses,
// until one answers.
func (a *addresses) refresh() {
	candidates := a.usable()
	for _, seed := range a.config.SeedAddresses {
		candidates = append(candidates, caller.Address{Address: seed})
	}
	for _, candidate := range candidates {
		list, ok := a.fetch(candidate.Address)
		if ok && len(list.Addresses) > 0 {
			a.list = list.Addresses
			a.expiresAt = time.Now().Add(time.Duration(list.KeepSeconds) * time.Second)
			a.avoided = make(map[string]bool)
			return
		}
	}
}

func (a *addresses) fetch(address string) (caller.AddressList, bool) {
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
	e, err := s.parts.Take()
	if err != nil || e.err != nil || e.status != http.StatusOK {
		return caller.AddressList{}, false
	}
	var list caller.AddressList
	if json.Unmarshal(e.body, &list) != nil {
		return caller.AddressList{}, false
	}
	return list, true
}

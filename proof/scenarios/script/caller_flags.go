package script

import (
	"flag"
	"io"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/callers"
	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/check"
)

// callerFlags are the flags of callers and callers-check.
type callerFlags struct {
	config    callers.Config
	allowed   check.Allowed
	gateways  string
	kinds     string
	customers string
	upstreams string
	cloud     string
}

const (
	defaultCount = 8
	// defaultCustomers are those of the intents of the scripts.
	defaultCustomers = "noranbus/academy=academy-secret,noranbus/elementary=elementary-secret"
)

func parseCallerFlags(args []string) (*callerFlags, error) {
	f := &callerFlags{}
	set := flag.NewFlagSet("callers", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	set.StringVar(&f.gateways, "gateways", "", "addresses of gateways")
	set.StringVar(&f.kinds, "kinds", "", "kinds of requests; empty is all")
	set.StringVar(&f.customers, "customers", defaultCustomers, "customers with their credentials")
	set.IntVar(&f.config.Count, "count", defaultCount, "number of callers")
	set.Uint64Var(&f.config.Seed, "seed", 1, "seed of the choices")
	set.IntVar(&f.config.MaxTokens, "max-tokens", 0, "limit of an answer")
	set.DurationVar(&f.config.Deadline, "deadline", 0, "limit of a submission")
	set.DurationVar(&f.config.Pause, "pause", 0, "time between two submissions")
	set.IntVar(&f.config.Requests, "requests", 0, "submissions of each caller; 0 is no limit")
	set.IntVar(&f.config.SharedEvery, "shared-every", 0, "one of so many keys is shared")
	set.IntVar(&f.config.HastyEvery, "hasty-every", 0, "one of so many deadlines is too short")
	set.IntVar(&f.config.MaxTries, "max-tries", 0, "tries of every second caller")
	set.StringVar(&f.config.Model, "model", "route-llm", "the model")
	set.StringVar(&f.config.Service, "service", "rider-app", "the plain service")
	set.BoolVar(&f.allowed.Refused, "refused", false, "refusals as not run are allowed")
	set.BoolVar(&f.allowed.Unknown, "unknown", false, "unknown outcomes of non-idempotent requests are allowed")
	set.BoolVar(&f.allowed.UnknownIdempotent, "unknown-idempotent", false, "unknown outcomes of idempotent requests are allowed")
	set.StringVar(&f.upstreams, "upstreams", "", "addresses of upstreams whose witnesses are read")
	set.StringVar(&f.cloud, "cloud", "", "the cloud, whose instances are upstreams too")
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	f.config.Gateways = split(f.gateways)
	for _, kind := range split(f.kinds) {
		f.config.Kinds = append(f.config.Kinds, callers.Kind(kind))
	}
	for _, pair := range split(f.customers) {
		name, credential, _ := strings.Cut(pair, "=")
		f.config.Customers = append(f.config.Customers, callers.Customer{Name: name, Credential: credential})
	}
	return f, nil
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

package main

import "time"

// The names in the manifest of the cases.
const (
	hostName   = "h.example"
	apiKey     = "key-acme"
	tenantName = "acme"
	llmService = "llm"
	appService = "app"
)

type manifest struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name            string `json:"name"`
	Hostname        string `json:"hostname"`
	Prefix          string `json:"prefix"`
	RouteType       string `json:"route_type"`
	TimeoutMS       int    `json:"timeout_ms"`
	TargetLatencyMS int    `json:"target_latency_ms"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	Attempts        int    `json:"attempts"`
	Public          bool   `json:"public"`
	SessionAffinity bool   `json:"session_affinity"`
	StreamResume    bool   `json:"stream_resume"`
	GapTargetMS     int    `json:"gap_target_ms,omitempty"`
}

type service struct {
	Name           string `json:"name"`
	HealthCheck    string `json:"health_check"`
	MaxConnections int    `json:"max_connections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

type tenant struct {
	Name        string   `json:"name"`
	APIKeys     []string `json:"api_keys"`
	Priority    int      `json:"priority"`
	Unit        string   `json:"unit"`
	PlainTokens int      `json:"plain_tokens"`
	RatePerS    int      `json:"rate_per_s"`
	Burst       int      `json:"burst"`
}

// baseManifest returns a manifest with the kinds of requests of the users' small
// sites.
func baseManifest(version int) manifest {
	return manifest{
		Version: version,
		Routes: []route{
			{Name: "prompt", Hostname: hostName, Prefix: "/prompt/", RouteType: "streaming", TimeoutMS: 15000, TargetLatencyMS: 500, Priority: 2, Service: llmService, Attempts: 1, SessionAffinity: true, GapTargetMS: 600},
			{Name: "confirm", Hostname: hostName, Prefix: "/confirm/", RouteType: "non_idempotent", TimeoutMS: 800, TargetLatencyMS: 100, Priority: 2, Service: appService, Attempts: 1},
			{Name: "locate", Hostname: hostName, Prefix: "/locate/", RouteType: "idempotent", TimeoutMS: 800, TargetLatencyMS: 100, Priority: 2, Service: appService, Attempts: 2},
		},
		Services: []service{
			{Name: llmService, HealthCheck: "/health", MaxConnections: 370, Protocol: "h1"},
			{Name: appService, HealthCheck: "/health", MaxConnections: 110, Protocol: "h1"},
		},
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []tenant{{Name: tenantName, APIKeys: []string{apiKey}, Priority: 1, Unit: "tokens", PlainTokens: 200, RatePerS: 200000, Burst: 200000}},
	}
}

// entry is the entry of a replica in the store.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     int    `json:"cold_remaining_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// configure writes a manifest as the operator does.
func (w *world) configure(m manifest) time.Time {
	at := w.store.put("op", "config", m)
	w.logf("the operator's manifest %d is acknowledged", m.Version)
	return at
}

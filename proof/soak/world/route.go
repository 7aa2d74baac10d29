package world

// route is a route of the configuration as the platform writes it.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"hostname"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"route_type"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
	Resumes   bool   `json:"stream_resume"`
	TimeoutMS int    `json:"timeout_ms"`
	TargetMS  int    `json:"target_latency_ms"`
	GapMS     int    `json:"gap_target_ms"`
}

func newRoute(prefix, kind, service string, attempts int) route {
	return route{
		Name: "r" + prefix, Host: Host, Prefix: prefix, Kind: kind, Service: service, Attempts: attempts,
		TimeoutMS: 2000, TargetMS: 400, GapMS: 400,
	}
}

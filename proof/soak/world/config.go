package world

// Config sets up a World.
type Config struct {
	// Program is the path of sycamored.
	Program string
	// Directory takes the settings files and the logs.
	Directory string
	// Seed makes the loopback addresses of worlds that run at the same time differ.
	Seed uint64
	// Gateways and Upstreams are the numbers of each; upstreams are of each of the
	// two services.
	Gateways, Upstreams int
}

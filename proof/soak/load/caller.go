package load

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/standin/requester"
)

const (
	// keep is how long a caller keeps the addresses.
	keep = 2 * time.Second
	// deadline is the usual timeout that a caller sends with a request, and patience how
	// much longer it waits itself.
	deadline = 4 * time.Second
	patience = time.Second
	// longestPause bounds the time between two requests.
	longestPause = 40 * time.Millisecond
)

// caller is one caller. One thread owns it.
type caller struct {
	config Config
	number int
	random *rand.Rand
	// spoils draws the spoilt requests, apart from the others.
	spoils    *rand.Rand
	client    *http.Client
	asker     *http.Client
	addresses []string
	until     time.Time
	stop      *ring.Ring[bool]
	records   []Record
	// connections numbers those of this caller. The map keeps them from being
	// mistaken for later ones.
	connections map[net.Conn]string
}

func newCaller(config Config, number int) *caller {
	if config.Deadline == 0 {
		config.Deadline = deadline
	}
	if len(config.Kinds) == 0 {
		config.Kinds = kinds
	}
	return &caller{
		config: config,
		number: number,
		random: rand.New(rand.NewPCG(config.Seed, uint64(number))),
		spoils: rand.New(rand.NewPCG(config.Seed, 1<<32+uint64(number))),
		client: &http.Client{Timeout: config.Deadline + patience, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
		asker:  &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		stop:   newStop(),

		connections: make(map[net.Conn]string),
	}
}

func (c *caller) run() error {
	for n := 0; ; n++ {
		if r, ok := c.request(n); ok {
			c.records = append(c.records, r)
		}
		pause := time.Duration(c.random.Int64N(int64(longestPause)))
		if _, _, err := c.stop.TakeUntil(pause); err != nil {
			c.client.CloseIdleConnections()
			return nil
		}
	}
}

// address is one that the directory gives, or gave last.
func (c *caller) address() string {
	if time.Now().After(c.until) {
		for range 3 {
			if c.ask(c.config.Directories[c.random.IntN(len(c.config.Directories))]) {
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.random.IntN(len(c.addresses))]
}

func (c *caller) ask(directory string) bool {
	// The next directory is asked then, and the addresses that there are go on
	// being used.
	addresses, err := requester.Resolve(c.asker, directory, c.config.Host, "r", "z")
	if err != nil {
		return false
	}
	c.addresses = addresses
	c.until = time.Now().Add(keep)
	return true
}

// request makes one request. It reports false if there is nobody to ask.
func (c *caller) request(n int) (Record, bool) {
	gateway := c.address()
	address := c.config.Ways[gateway]
	if address == "" {
		return Record{}, false
	}
	if c.spoils.IntN(spoiltEvery) == 0 {
		c.sendSpoilt(n, address)
	}
	r := Record{
		Gateway: gateway,
		ID:      fmt.Sprintf("%x-%x-%x", c.config.Seed, c.number, n),
		Kind:    c.config.Kinds[c.random.IntN(len(c.config.Kinds))],
	}
	method := http.MethodPost
	switch r.Kind {
	case Newest:
		method = http.MethodGet
		r.Version = c.config.Newest()
		r.Path = fmt.Sprintf("/v%d/%s", r.Version, r.ID)
	case Safe:
		method = http.MethodGet
		r.Path = "/safe/" + r.ID
	default:
		r.Path = "/" + string(r.Kind) + "/" + r.ID
	}
	r.Start = time.Now()
	c.send(&r, method, address)
	r.End = time.Now()
	return r, true
}

// name tells a connection apart from all others of all callers.
func (c *caller) name(conn net.Conn) string {
	if c.connections[conn] == "" {
		c.connections[conn] = fmt.Sprintf("%d-%d", c.number, len(c.connections)+1)
	}
	return c.connections[conn]
}

func (c *caller) send(r *Record, method, address string) {
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte(r.ID))
	}
	request, err := http.NewRequest(method, "http://"+address+r.Path, body)
	if err != nil {
		r.Err = err
		return
	}
	request.Host = c.config.Host
	requester.RequestHeader{ID: r.ID, Credential: c.config.Credential, Customer: "somebody", Timeout: c.config.Deadline}.SetHeader(request.Header)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { r.Connection = c.name(info.Conn) }}
	res, err := c.client.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		r.Err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	r.Status = res.StatusCode
	r.Receipt = requester.ResponseSeal(res.Header)
	var text strings.Builder
	_, r.Err = io.Copy(&text, res.Body)
	r.Body = text.String()
}

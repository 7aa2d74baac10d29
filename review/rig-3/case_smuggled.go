package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// spoiltHead is a way to spoil the length of a request. fields returns the framing fields of
// a request with the given length of its body. The body is begin, and then the inner request.
type spoiltHead struct {
	name, begin string
	fields      func(length int) string
}

// spoiltHeads are heads that RFC 9112 lets no server accept (6.3: two lengths that differ;
// 5.1: white space between a field's name and the colon).
var spoiltHeads = []spoiltHead{
	{"two lengths", "body", func(n int) string { return fmt.Sprintf("Content-Length: 4\r\nContent-Length: %d\r\n", n) }},
	{"a blank before the colon", "0\r\n\r\n", func(n int) string { return fmt.Sprintf("Transfer-Encoding : chunked\r\nContent-Length: %d\r\n", n) }},
}

// smuggled: clients that the operators don't control send requests whose bodies hold the
// text of another one, and whose heads are spoilt so that a lenient reader finds it.
func smuggled(w *world, trouble bool) (int, error) {
	book := func(r *replica, q *http.Request, body []byte, out net.Conn) bool {
		id := q.Header.Get("Attempt-Id")
		w.note("replica %s runs %s %s, %d bytes", r.id, q.Method, id, len(body))
		time.Sleep(15 * time.Millisecond)
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: 2\r\n\r\nok", id, r.id)
		return true
	}
	app, err := w.startReplica("i-book0", "wuno96b", 6, book)
	if err != nil {
		return failed, err
	}
	w.writeManifest(7, []route{{Name: "r-book", Host: host, Prefix: "/puxa403/", Kind: "non_idempotent", TimeoutMS: 800, TargetMS: 300, Service: "wuno96b", Attempts: 1}}, "wuno96b")
	g, err := w.addGateway("edge-regina-hall-1", "")
	if err != nil {
		return failed, err
	}
	if err := w.start(g, ""); err != nil {
		return failed, err
	}
	if err := w.awaitReady(g); err != nil {
		return failed, err
	}
	ran := 0
	for i, spoilt := range spoiltHeads {
		for n := range 5 {
			outer, inner := fmt.Sprintf("9c41d07be2%02x%04x", i, n), fmt.Sprintf("5a5a5a5a5a%02x%04x", i, n)
			text := spoilt.begin + string(requestText(http.MethodPost, "/puxa403/2f", inner, 1500*time.Millisecond, "", []byte("x")))
			fields := fmt.Sprintf("Content-Length: %d\r\n", len(text))
			if trouble {
				fields = spoilt.fields(len(text))
			}
			w.note("%s: request %s, whose body of %d bytes holds the text of %s", spoilt.name, outer, len(text), inner)
			w.sendRaw(g, outer, fields, text)
			if k := app.runs(inner); k > 0 {
				ran++
				w.note("%s, which nobody sent as a request, ran %d times", inner, k)
			}
		}
	}
	w.copyLogs(12)
	if ran > 0 {
		w.note("UNASKED is broken: %d requests that were smuggled inside others have run", ran)
		return broken, nil
	}
	w.note("UNASKED holds")
	return held, nil
}

// sendRaw sends one request and notes the answers that come within half a second.
func (w *world) sendRaw(g *gateway, id, fields, body string) {
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		w.note("%s: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nCredential: %s\r\n%s\r\n%s", host, id, credential, fields, body)
	_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	in := bufio.NewReader(conn)
	for {
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		text, _ := io.ReadAll(res.Body)
		w.note("answer: %d, Attempt-Id %s, %s", res.StatusCode, res.Header.Get("Attempt-Id"), strings.TrimSpace(string(text)))
	}
}

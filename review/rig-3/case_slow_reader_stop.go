package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// streamEvents and eventBytes are the largest stream of the class volunteer-chat.
	streamEvents = 229
	eventBytes   = 300
	// eventInterval is the time of four steps of an engine.
	eventInterval = 15200 * time.Microsecond
	// readRate is how fast the requester's link delivers, in bytes a second.
	readRate = 8_500
	// grace is grace_s, chatBudget the time budget of the class and its route's timeout.
	grace      = 8 * time.Second
	chatBudget = 15 * time.Second
)

// slowReaderStop: a requester on a thin link reads the answer of a stream while the machine
// that serves it gets SIGTERM. The replica ends the stream in time.
func slowReaderStop(w *world, trouble bool) (int, error) {
	serve := func(r *replica, q *http.Request, _ []byte, out net.Conn) bool {
		id := q.Header.Get("Attempt-Id")
		w.note("replica %s runs %s", r.id, id)
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id)
		for n := 1; n <= streamEvents; n++ {
			event := fmt.Sprintf("id: %d\ndata: ", n)
			event += strings.Repeat("x", eventBytes-len(event)-2) + "\n\n"
			if _, err := fmt.Fprintf(out, "%x\r\n%s\r\n", len(event), event); err != nil {
				w.note("replica %s: its caller has gone", r.id)
				return false
			}
			time.Sleep(eventInterval)
		}
		fmt.Fprint(out, "0\r\n\r\n")
		w.note("replica %s has ended %s: %d events, complete", r.id, id, streamEvents)
		return true
	}
	if _, err := w.startReplica("i-7f3a91c2", "huvo11a", 64, serve); err != nil {
		return failed, err
	}
	w.writeManifest(7, []route{{
		Name: "r-chat", Host: host, Prefix: "/demi832/", Kind: "streaming", TimeoutMS: int(chatBudget.Milliseconds()),
		TargetMS: 500, Service: "huvo11a", Attempts: 1, GapTargetMS: 600,
	}}, "huvo11a")
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
	conn, err := dialThin(g.front)
	if err != nil {
		return failed, err
	}
	defer func() { _ = conn.Close() }()
	sent := time.Now()
	if _, err := conn.Write(requestText(http.MethodPost, "/demi832/2f", "9c41d07be2a35f68", chatBudget, "", []byte("prompt"))); err != nil {
		return failed, err
	}
	w.note("requester sent 9c41d07be2a35f68 and reads %d bytes a second", readRate)
	if trouble {
		time.AfterFunc(1200*time.Millisecond, func() {
			w.note("SIGTERM to %s", g.name)
			g.signal(syscall.SIGTERM)
			time.AfterFunc(grace, func() { g.signal(syscall.SIGKILL) })
		})
		go func() {
			<-g.ended
			w.note("%s has ended, %.1f s after the request was sent", g.name, time.Since(sent).Seconds())
		}()
	}
	got, bytes, err := readThin(conn, sent.Add(chatBudget))
	took := time.Since(sent)
	w.note("requester: %d of %d events, %d bytes, %.1f s, end: %v", got, streamEvents, bytes, took.Seconds(), err)
	w.copyLogs(15)
	switch {
	case err == nil && got == streamEvents:
		w.note("LOST holds: the answer is complete")
		return held, nil
	case took >= chatBudget:
		w.note("LOST holds: the time budget was reached")
		return held, nil
	default:
		w.note("LOST is broken: the connection ended without a complete answer")
		return broken, nil
	}
}

// dialThin connects with the segment size and the window of a thin link.
func dialThin(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536)
			if failure == nil {
				failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1024)
			}
		})
		if err != nil {
			return err
		}
		return failure
	}}
	return d.Dial("tcp", address)
}

// thinReader delivers the bytes of a connection at readRate.
type thinReader struct {
	conn  net.Conn
	begun time.Time
	bytes int
}

func (t *thinReader) Read(p []byte) (int, error) {
	if t.begun.IsZero() {
		t.begun = time.Now()
	}
	time.Sleep(time.Until(t.begun.Add(time.Duration(t.bytes) * time.Second / readRate)))
	n, err := t.conn.Read(p[:min(len(p), 200)])
	t.bytes += n
	return n, err
}

// readThin reads the answer and returns the number of whole events. The error is nil if it is
// complete.
func readThin(conn net.Conn, deadline time.Time) (events, bytes int, err error) {
	_ = conn.SetReadDeadline(deadline)
	t := &thinReader{conn: conn}
	res, err := http.ReadResponse(bufio.NewReaderSize(t, 256), nil)
	if err != nil {
		return 0, t.bytes, err
	}
	if res.StatusCode != http.StatusOK {
		return 0, t.bytes, fmt.Errorf("status %d", res.StatusCode)
	}
	body, err := io.ReadAll(res.Body)
	return strings.Count(string(body), "\n\n"), t.bytes, err
}

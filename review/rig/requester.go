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

// requester is a connection of a requester to a gateway.
type requester struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(address string) (*requester, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &requester{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is an answer as the requester has received it. err tells why it is not
// complete.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	text := fmt.Sprintf("status %d, %d bytes", a.status, len(a.body))
	if a.err != nil {
		text += ", incomplete: " + a.err.Error()
	}
	return text
}

// ask sends a request and reads its whole answer. Further header lines may be
// given.
func (r *requester) ask(method, path, id, key string, budget time.Duration, body string, lines ...string) answer {
	_ = r.conn.SetDeadline(time.Now().Add(budget))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n", method, path, hostName, id, budget.Milliseconds(), key)
	for _, line := range lines {
		head.WriteString(line + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(r.conn, head.String()+"\r\n"+body); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	text, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: string(text), err: err}
}

func (r *requester) close() { _ = r.conn.Close() }

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempt is one client attempt.
type attempt struct {
	method, path, key string
	deadline          time.Duration
	// usage and parts are those of a prompt, "" for plain requests.
	usage, parts string
	body         string
	// leaveAfter is when the client leaves, 0 for never: it ends its side of the connection and reads what still comes.
	leaveAfter time.Duration
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	signed bool
	whole  bool
	body   string
	err    error
}

var attempts atomic.Int64

// send sends an attempt on a new connection to a router and reads the answer.
func (f *fleet) send(router, who string, a attempt) answer {
	out := answer{id: fmt.Sprintf("%016x", 0x7a00000000000000+attempts.Add(1))}
	conn, err := net.DialTimeout("tcp", router, time.Second)
	if err != nil {
		out.err = err
		f.record.add(who, fmt.Sprintf("%s: no connection: %v", out.id, err))
		return out
	}
	defer conn.Close()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nArbutusmill-Attempt-Id: %s\r\nArbutusmill-Deadline-Ms: %d\r\nApi-Key: %s\r\n",
		a.method, a.path, host, out.id, a.deadline.Milliseconds(), a.key)
	if a.usage != "" {
		fmt.Fprintf(&b, "Arbutusmill-Model: m\r\nArbutusmill-Token-Usage: %s\r\nArbutusmill-Prefix-Hash: %s\r\n", a.usage, a.parts)
	}
	if a.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n" + a.body)
	_ = conn.SetDeadline(time.Now().Add(a.deadline + time.Second))
	f.record.add(who, fmt.Sprintf("%s: sends %s %s", out.id, a.method, a.path))
	if _, err := io.WriteString(conn, b.String()); err != nil {
		out.err = err
		return out
	}
	if a.leaveAfter > 0 {
		time.AfterFunc(a.leaveAfter, func() {
			f.record.add(who, out.id+": leaves: ends its side of the connection")
			_ = conn.(*net.TCPConn).CloseWrite() // the connection may have ended
		})
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		out.err = err
		f.record.add(who, fmt.Sprintf("%s: no answer: %v", out.id, err))
		return out
	}
	body, err := io.ReadAll(resp.Body)
	out.status, out.signed, out.whole, out.body, out.err = resp.StatusCode, resp.Header.Get("Arbutusmill-Response-Signature") != "", err == nil, string(body), err
	text := out.body
	if out.status == http.StatusOK && a.usage != "" {
		text = fmt.Sprint(strings.Count(text, "id: "), " events")
	}
	f.record.add(who, fmt.Sprintf("%s: gets %d, signed %v, whole %v: %.160s", out.id, out.status, out.signed, out.whole, strings.TrimSpace(text)))
	return out
}

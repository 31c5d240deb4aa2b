package bounded

import (
	"net"
	"net/http/httptrace"
	"testing"
)

// BenchmarkExchange measures what the checks of one request and its response cost.
func BenchmarkExchange(b *testing.B) {
	b.ReportAllocs()
	c := &checkedConn{closed: make(chan struct{})}
	// A router has a trace of its own.
	ctx := httptrace.WithClientTrace(b.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {}})
	response := []byte("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41d07be2a35f68\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: 2\r\n\r\nok")
	for b.Loop() {
		x := newExchange()
		trace := httptrace.ContextClientTrace(x.trace(ctx))
		trace.GotConn(httptrace.GotConnInfo{Conn: net.Conn(c)})
		trace.WroteRequest(httptrace.WroteRequestInfo{})
		c.scan(response)
		if err := x.checkLines(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCheckedConn measures what a connection takes beside the one that was dialed.
func BenchmarkCheckedConn(b *testing.B) {
	b.ReportAllocs()
	var c *checkedConn
	for b.Loop() {
		c = &checkedConn{closed: make(chan struct{})}
	}
	_ = c
}

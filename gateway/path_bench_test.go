package gateway_test

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/gateway"
	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/stretchr/testify/require"
)

// tcpFleet starts a gateway with stand-ins on loopback. It returns the addresses for callers and
// of the engine.
func tcpFleet(b *testing.B, log io.Writer) (callers, upstream string) {
	store := standin.NewStore()
	address := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	serve := func(h http.Handler) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		s := &http.Server{Handler: h}
		go func() { _ = s.Serve(l) }() // returns on Close
		b.Cleanup(func() { _ = s.Close() })
		return l.Addr().String()
	}
	require.NoError(b, store.PutConfig(fmt.Sprintf(configTemplate, 1, `"k1"`, 1<<50)))
	engine := serve(&standin.Upstream{ID: "i-1", Events: 40})
	require.NoError(b, store.Register("i-1", "model", engine, "bergen", "ready", 64))
	plain := serve(&standin.Upstream{ID: "i-2"})
	require.NoError(b, store.Register("i-2", "plain", plain, "bergen", "ready", 64))
	s := settings.DefaultGateway()
	s.VM, s.Datacentre = "router-1", "bergen"
	s.Listen = settings.GatewayListen{Callers: address(), Ready: address(), Admin: address(), Link: address()}
	s.Store.Address = serve(store.Handler())
	g := gateway.New(&s, hosted.TCP(), log, func() uint64 { return 0 })
	go func() { _ = g.Run(b.Context()) }()
	require.Eventually(b, func() bool {
		resp, err := http.Get("http://" + s.Listen.Ready + "/arbutusmill/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 5*time.Second, 10*time.Millisecond)
	return s.Listen.Callers, engine
}

// BenchmarkStream measures a streamed answer of 40 events through a gateway and, for
// comparison, directly from the upstream.
func BenchmarkStream(b *testing.B) {
	callers, upstream := tcpFleet(b, io.Discard)
	for name, address := range map[string]string{"gateway": callers, "direct": upstream} {
		b.Run(name, func(b *testing.B) { benchmarkCalls(b, address, "/chat/x", strings.Repeat("x", 9000)) })
	}
}

// BenchmarkPlain measures a plain answer through a gateway.
func BenchmarkPlain(b *testing.B) {
	callers, _ := tcpFleet(b, io.Discard)
	benchmarkCalls(b, callers, "/alert/x", "surge")
}

func benchmarkCalls(b *testing.B, address, path, body string) {
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	n := 0
	for b.Loop() {
		n++
		callOnce(b, c, address, path, body, fmt.Sprint("r", n))
	}
}

func callOnce(b *testing.B, c *http.Client, address, path, body, id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	require.NoError(b, err)
	req.Host = "a.example"
	req.Header.Set("Api-Key", "k1")
	req.Header.Set(standin.HeaderID, id)
	req.Header.Set(standin.HeaderDeadline, "6000")
	req.Header.Set(standin.HeaderUsage, "1000,120")
	req.Header.Set(standin.HeaderParts, "aa:600,bb:400")
	resp, err := c.Do(req)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(b, err)
	_ = resp.Body.Close()
	require.Equal(b, 200, resp.StatusCode)
}

// BenchmarkOpenConnections measures the memory of open connections of callers, each of which
// made one request, and the peak memory and descriptors while streams run concurrently. Both
// ends of all connections are in this process, so the results are upper bounds.
func BenchmarkOpenConnections(b *testing.B) {
	const open, streams = 2000, 64
	callers, _ := tcpFleet(b, io.Discard)
	for b.Loop() {
		before := memoryInUse()
		conns := openConnections(b, callers, open)
		b.ReportMetric((memoryInUse()-before)/open/1024, "KiB/connection")
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() { benchmarkCall(b, callers, "/chat/x", strings.Repeat("x", 9000)) })
		}
		peak := memoryInUse()
		files, err := os.ReadDir("/proc/self/fd")
		require.NoError(b, err)
		wg.Wait()
		b.ReportMetric(peak/(1<<20), "MiB-peak")
		b.ReportMetric(float64(len(files)), "descriptors-peak")
		for _, conn := range conns {
			require.NoError(b, conn.Close())
		}
	}
}

// memoryInUse returns the heap and stack memory in use, in bytes.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// openConnections opens connections that have each made one request.
func openConnections(b *testing.B, address string, n int) []net.Conn {
	conns := make([]net.Conn, n)
	for i := range conns {
		conn, err := net.Dial("tcp", address)
		require.NoError(b, err)
		_, err = io.WriteString(conn, rawAlert(fmt.Sprint("r", i), "surge"))
		require.NoError(b, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(b, err)
		require.Equal(b, 200, resp.StatusCode)
		conns[i] = conn
	}
	return conns
}

// benchmarkCall makes one call on a new connection.
func benchmarkCall(b *testing.B, address, path, body string) {
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	callOnce(b, c, address, path, body, rand.Text())
}

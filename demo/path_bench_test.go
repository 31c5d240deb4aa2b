package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/arbutusmill/arbutusmill/openai"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/arbutusmill/arbutusmill/standin"
	"github.com/stretchr/testify/require"
)

// instantUpstream streams a number of tokens without delay, so that a benchmark measures
// only the cost of the path.
func instantUpstream(tokens int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		rc := http.NewResponseController(w)
		for range tokens {
			_, _ = io.WriteString(w, `data: {"choices":[{"index":0,"delta":{"content":"w1 "},"finish_reason":null}]}`+"\n\n")
			_ = rc.Flush()
		}
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n", tokens, tokens+9)
	})
}

// BenchmarkPath compares a streamed request through router and agent with the same
// request directly to the upstream. cpu-ns/op is the CPU time of all components in this
// process: client, router, agent, upstream and the platform's stand-in.
func BenchmarkPath(b *testing.B) {
	for _, tokens := range []int{1, 8, 32, 64} {
		direct := httptest.NewServer(instantUpstream(tokens))
		b.Run(fmt.Sprintf("direct/tokens=%d", tokens), func(b *testing.B) { benchmarkRequests(b, direct.URL, "", tokens) })
		direct.Close()
		f, err := Start(context.Background(), Options{Datacentres: []string{"bergen"}, Routers: 1, Engines: 1,
			Engine: standin.DefaultEngineOptions(), Upstream: instantUpstream(tokens), Log: io.Discard, Tune: func(s *settings.Settings) { s.Log.Level = "error" }})
		require.NoError(b, err)
		d := &demo{fleet: f}
		require.NoError(b, d.configure(context.Background()))
		require.NoError(b, f.Accounts().TopUp(context.Background(), pilotsBudget, "much", 1<<50))
		b.Run(fmt.Sprintf("path/tokens=%d", tokens), func(b *testing.B) {
			benchmarkRequests(b, "http://"+f.CallerAddresses["bergen-router-1"], d.keys[pilots], tokens)
		})
		require.NoError(b, f.Stop())
	}
}

func benchmarkRequests(b *testing.B, url, key string, tokens int) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"low water?"}]}`, model)
	b.ReportAllocs()
	before := cpuTime(b)
	n := 0
	for b.Loop() {
		n++
		req, err := http.NewRequest(http.MethodPost, url+openai.ChatPath, strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp.StatusCode, err)
		}
		_ = resp.Body.Close()
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(n), "cpu-ns/op")
}

func cpuTime(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

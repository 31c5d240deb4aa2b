package gateway

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/poison"
	"github.com/arbutusmill/arbutusmill/prefill"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/stretchr/testify/require"
)

// Guards against memory that grows with the answers, and against a prompt that is forgotten although it is answered again and again.
func TestRecentAnswersAreBounded(t *testing.T) {
	a := recentAnswers{max: 100}
	start := time.Now()
	for n := range 1000 {
		a.add(poison.Prompt(fmt.Sprint(n)), "model", start)
		a.add("popular", "model", start.Add(time.Duration(n)*time.Millisecond))
		require.LessOrEqual(t, len(a.current)+len(a.older), 2*a.max)
		require.True(t, a.has("popular", "model"))
		require.True(t, a.has(poison.Prompt(fmt.Sprint(max(0, n-98))), "model"), "one generation at least")
	}
	at, answered := a.last("popular", "model")
	require.True(t, answered)
	require.Equal(t, start.Add(999*time.Millisecond).UnixMilli(), at)
	require.False(t, a.has("popular", "other"))
	require.False(t, a.has("0", "model"))
}

// BenchmarkRecordAnswer records answers while there is no evidence, as usual.
func BenchmarkRecordAnswer(b *testing.B) {
	for _, body := range []int{0, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("body of %d bytes", body), func(b *testing.B) {
			b.ReportAllocs()
			p := &promptGuard{answeredPrompts: recentAnswers{max: maxAnsweredPrompts}}
			r := &serving.Request{Service: catalog.Service{Name: "model"}, Body: bytes.Repeat([]byte("x"), body)}
			if body == 0 {
				r.Parts = []prefill.Part{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 100}, {ID: "c", Tokens: 100}}
			}
			for b.Loop() {
				r.MaxOutput++ // another prompt
				p.RecordAnswer(r)
			}
		})
	}
}

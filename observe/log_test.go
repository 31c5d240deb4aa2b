package observe

import (
	"bytes"
	"io"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Both formats have the same fields.
func TestLogFormats(t *testing.T) {
	var b bytes.Buffer
	log := NewLogger(&b, "info", "router-1")
	log.Info().Str("id", "r 1").Msg("request")
	require.Regexp(t, `^time=\S+ level=info event=request id="r 1" vm=router-1\n$`, b.String())
	b.Reset()
	log = NewJSONLogger(&b, "info", "router-1")
	log.Info().Str("id", "r 1").Msg("request")
	require.Regexp(t, `^\{"level":"info","vm":"router-1","id":"r 1","time":"[^"]+","event":"request"\}\n$`, b.String())
}

// BenchmarkLine writes a line of typical size in both formats.
func BenchmarkLine(b *testing.B) {
	for name, log := range map[string]zerolog.Logger{
		"pairs": NewLogger(io.Discard, "info", "router-1"), "json": NewJSONLogger(io.Discard, "info", "router-1"),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				log.Info().Str("id", "0123456789abcdef").Str("team", "pilots").Str("route", "chat").Int("status", 200).
					Int64("took_ms", 120).Int64("left_ms", 5880).Int64("reserved", 12000).Int64("used", 11000).
					Bool("cut", false).Str("attempts", "i-0123456789 whole").Msg("request")
			}
		})
	}
}

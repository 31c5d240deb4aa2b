package poison

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDocumentOfPrompts(t *testing.T) {
	var r Registry
	r.Add(start, endedOf("p", "one", "i-1"))
	r.Add(start.Add(time.Minute), endedOf("p", "two", "i-2"))
	r.Add(start.Add(time.Minute), endedOf("q", "two", "i-2"))
	r.RecordAnswer(start.Add(time.Minute), "p", "three")
	later := start.Add(time.Hour)
	value, err := Encode(later, r.List(later))
	require.NoError(t, err)
	read, err := Decode(later.Add(time.Hour), value)
	require.NoError(t, err)
	require.Equal(t, r.List(later.Add(time.Hour)), read)

	read, err = Decode(later.Add(-3*time.Hour), value)
	require.NoError(t, err)
	require.Zero(t, read[0].Crashes[0].Age, "the reader's clock is behind")
	read, err = Decode(start.Add(rememberedFor+time.Second), value)
	require.NoError(t, err)
	require.Equal(t, []string{"i-2"}, []string{read[0].Crashes[0].Upstream}, "the first end is more than a day old")
	require.Len(t, read, 2)
}

// Guards against a document that grows with each request which a failing rack cuts.
func TestDocumentIsBounded(t *testing.T) {
	var r Registry
	for n := range mostPrompts {
		r.Add(start, endedOf(Prompt(fmt.Sprintf("%024d", n)), "model", "i-1"))
	}
	for n := range endsProven {
		r.Add(start, endedOf("deadly", "model", fmt.Sprint("i-", n)))
	}
	value, err := Encode(start, r.List(start))
	require.NoError(t, err)
	require.Less(t, len(value), 20_000)
	require.Contains(t, string(value), `"deadly"`)
}

func TestUnreadableDocuments(t *testing.T) {
	for value, wrong := range map[string]string{
		`[]`:               "cannot unmarshal",
		`{"prompts":[{}]}`: "prompts[0].prompt is missing",
		`{"prompts":[{"prompt":"p","ends":[{"upstream":"i-1"},{}]}]}`: "prompts[0].ends[1].upstream is missing",
		`{"prompts":[{"prompt":"p","ends":[{"unix_ms":"x"}]}]}`:       "unix_ms",
	} {
		_, err := Decode(start, []byte(value))
		require.Error(t, err, value)
		require.True(t, strings.Contains(err.Error(), wrong), err)
	}
}

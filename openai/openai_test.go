package openai

import (
	"encoding/json"
	"testing"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/stretchr/testify/require"
)

func TestBindSetsLimits(t *testing.T) {
	r, refusal := Parse(ChatPath, []byte(`{"model":"m","stream":true,"n":2,"max_completion_tokens":9,"seed":4,"messages":[{"role":"user","content":"hi"}]}`))
	require.Nil(t, refusal)
	require.NoError(t, r.SetLimits(64, contract.Urgent))
	require.Equal(t, int64(18), r.OutputLimit, "of both choices")
	require.JSONEq(t, `{"model":"m","stream":true,"n":2,"max_tokens":9,"seed":4,"priority":0,
		"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"hi"}]}`, string(r.Body))
	r, _ = Parse(ChatPath, []byte(`{"model":"m","max_tokens":1000000,"messages":[{"role":"user","content":"hi"}]}`))
	require.NoError(t, r.SetLimits(64, contract.Normal))
	require.Equal(t, int64(64), r.OutputLimit)
}

// A stream that ends before its last event must not count as complete, and is billed by
// the pieces received.
func TestMeter(t *testing.T) {
	var m Meter
	for _, line := range []string{": comment", "", `data: {"choices":[{"delta":{"role":"assistant","content":""}}]}`,
		`data: {"choices":[{"delta":{"content":"a"}}]}`, `data:{"choices":[{"text":"b"}]}`} {
		m.RecordLine([]byte(line))
	}
	require.False(t, m.Done)
	require.Equal(t, int64(2), m.Billed())
	m.RecordLine([]byte(`data: {"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":2,"total_tokens":7}}`))
	m.RecordLine([]byte("data: [DONE]"))
	require.True(t, m.Done)
	require.Equal(t, int64(7), m.Billed())
}

// No body may crash the parser, and accepted requests must have bounded limits.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"m","n":-1,"max_tokens":99999999999999999999,"messages":[{}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":[{"type":"text","text":"x"}]}],"n":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, refusal := Parse(ChatPath, raw)
		if refusal != nil {
			return
		}
		if err := r.SetLimits(64, contract.Normal); err != nil {
			return
		}
		require.True(t, json.Valid(r.Body))
		require.GreaterOrEqual(t, r.PromptBound, int64(len(raw)))
		require.Positive(t, r.OutputLimit)
		require.LessOrEqual(t, r.OutputLimit, int64(64*maxChoices))
	})
}

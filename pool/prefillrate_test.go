package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Engines prefill 32, 50 or 157 tokens per millisecond where the settings say 50. The rate is
// estimated from prompts of many lengths, each with a fixed time and sometimes a long wait.
func TestPrefillRateEstimate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, actual := range []float64{32, 50, 157} {
		var r prefillRate
		_, known := r.tokensPerMs(50)
		require.False(t, known)
		for range 400 {
			tokens := 300 + random.IntN(12_000)
			ms := 25 + float64(tokens)/actual + 10*random.Float64()
			if random.IntN(20) == 0 {
				ms += 60
			}
			r.observe(int64(tokens), time.Duration(ms*float64(time.Millisecond)))
		}
		rate, known := r.tokensPerMs(50)
		require.True(t, known)
		require.InEpsilon(t, actual, rate, 0.1)
	}
}

// Prompts of one length, or times that fall with the length, give no estimate; a rate far from the
// settings' is bounded.
func TestPrefillRateWithoutEstimate(t *testing.T) {
	var same, backwards, instant prefillRate
	for n := range 200 {
		same.observe(1000, 40*time.Millisecond)
		backwards.observe(int64(100*n), time.Duration(200-n)*time.Millisecond)
		instant.observe(int64(100*n), time.Duration(n)*time.Nanosecond)
	}
	for _, r := range []*prefillRate{&same, &backwards} {
		rate, known := r.tokensPerMs(50)
		require.False(t, known)
		require.Equal(t, 50.0, rate)
	}
	rate, _ := instant.tokensPerMs(50)
	require.Equal(t, 50.0*maxRateFactor, rate)
}

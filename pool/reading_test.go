package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Engines read 32 tokens in a millisecond where the settings say 50, or 157. Prompts of many
// lengths, each with some time beside the reading and now and then a long wait, tell which.
func TestReadingIsLearned(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, truth := range []float64{32, 50, 157} {
		var r reading
		_, known := r.perMs(50)
		require.False(t, known)
		for range 400 {
			tokens := 300 + random.IntN(12_000)
			ms := 25 + float64(tokens)/truth + 10*random.Float64()
			if random.IntN(20) == 0 {
				ms += 60
			}
			r.note(int64(tokens), time.Duration(ms*float64(time.Millisecond)))
		}
		rate, known := r.perMs(50)
		require.True(t, known)
		require.InEpsilon(t, truth, rate, 0.1)
	}
}

// Prompts of one length, or times that make no sense, teach nothing; a rate far from the settings'
// is bounded.
func TestReadingThatCannotBeLearned(t *testing.T) {
	var same, backwards, instant reading
	for n := range 200 {
		same.note(1000, 40*time.Millisecond)
		backwards.note(int64(100*n), time.Duration(200-n)*time.Millisecond)
		instant.note(int64(100*n), time.Duration(n)*time.Nanosecond)
	}
	for _, r := range []*reading{&same, &backwards} {
		rate, known := r.perMs(50)
		require.False(t, known)
		require.Equal(t, 50.0, rate)
	}
	rate, _ := instant.perMs(50)
	require.Equal(t, 50.0*readingMost, rate)
}

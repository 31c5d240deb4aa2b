package virtualtime_test

import (
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// runConcurrently calls do in 16 goroutines of one bubble at the same virtual times.
func runConcurrently(t *testing.T, do func()) {
	const bubbles, goroutines, times = 10, 16, 2000
	for range bubbles {
		virtualtime.Test(t, func(t *testing.T) {
			var wg sync.WaitGroup
			for range goroutines {
				wg.Go(func() {
					for range times {
						do()
					}
				})
			}
			wg.Wait()
		})
	}
}

// Guards against a crash in the race detector when timers fire at the same virtual time.
func TestSimultaneousTimers(t *testing.T) {
	runConcurrently(t, func() {
		timer := time.NewTimer(time.Millisecond)
		time.Sleep(time.Millisecond)
		select {
		case <-timer.C:
		default:
		}
	})
}

// Guards against the same crash with timers that are due as soon as they are set.
func TestTimersDueImmediately(t *testing.T) {
	runConcurrently(t, func() {
		select {
		case <-time.NewTimer(0).C:
		default:
		}
		done := make(chan struct{})
		time.AfterFunc(0, func() { close(done) })
		<-done
	})
}

func TestClockIsVirtual(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		start := time.Now()
		time.Sleep(time.Hour)
		require.Equal(t, time.Hour, time.Since(start))
	})
}

// Package ctxlock provides a mutual exclusion lock whose wait ends with a context.
package ctxlock

import (
	"context"
	"sync"
)

// Mutex is a mutual exclusion lock for sections that wait for other processes, such as calls of a
// store: a wait for the lock ends with the waiter's context. In virtual time, goroutines that wait
// for it do not stop the clock, as those that wait for a sync.Mutex do. The zero value is unlocked.
// A Mutex must not be copied after its first use.
type Mutex struct {
	once sync.Once
	// held contains one element while the lock is held.
	held chan struct{}
}

// Lock locks m. If the context ends first, it returns the context's error, and m is not locked.
func (m *Mutex) Lock(ctx context.Context) error {
	m.once.Do(func() { m.held = make(chan struct{}, 1) })
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case m.held <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Unlock unlocks m. It panics if m is not locked.
func (m *Mutex) Unlock() {
	select {
	case <-m.held:
	default:
		panic("ctxlock: unlock of an unlocked Mutex")
	}
}

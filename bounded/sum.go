package bounded

import "sync/atomic"

// Sum limits what several responses hold in memory together.
type Sum struct {
	limit int64
	held  atomic.Int64
}

// NewSum returns a Sum of at most limit bytes.
func NewSum(limit int64) *Sum { return &Sum{limit: limit} }

// Held returns the bytes that are held.
func (s *Sum) Held() int64 { return s.held.Load() }

// Share is what one response holds of a Sum. Its first bytes, up to a free size, do not count, so that small responses
// need no room. It must not be used concurrently.
type Share struct {
	sum  *Sum
	free int64
	held int64
}

// Share returns a share that holds nothing.
func (s *Sum) Share(free int64) *Share { return &Share{sum: s, free: free} }

// Resize sets the size of the response's buffer. It returns an error of the type *TooLongError, and holds what it held
// before, if the sum has no room.
func (s *Share) Resize(size int64) error {
	counted := max(0, size-s.free)
	if s.sum.held.Add(counted-s.held) > s.sum.limit && counted > s.held {
		s.sum.held.Add(s.held - counted)
		return &TooLongError{What: "all responses in memory", Limit: s.sum.limit}
	}
	s.held = counted
	return nil
}

// Release returns everything that the share holds.
func (s *Share) Release() { _ = s.Resize(0) } // only growing fails

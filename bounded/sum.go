package bounded

import (
	"errors"
	"io"
	"sync"
)

// minReadBytes is the size of the first buffer of ReadAll.
const minReadBytes = 512

// Sum limits what several messages, responses or requests, hold in memory together.
type Sum struct {
	limit int64

	mu   sync.Mutex
	held int64
}

// NewSum returns a Sum of at most limit bytes.
func NewSum(limit int64) *Sum { return &Sum{limit: limit} }

// Held returns the bytes that are held.
func (s *Sum) Held() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Share is what one message holds of a Sum. Its first bytes, up to a free size, do not count, so that small messages
// need no room. It must not be used concurrently. A nil *Share counts nothing.
type Share struct {
	sum  *Sum
	free int64
	held int64
	// rest is set if it may hold all that the others leave.
	rest bool
}

// Share returns a share that holds nothing. It may hold half of what the others leave, so messages without end leave room
// for the others.
func (s *Sum) Share(free int64) *Share { return &Share{sum: s, free: free} }

// Rest returns a share that holds nothing and may hold all that the others leave.
func (s *Sum) Rest(free int64) *Share { return &Share{sum: s, free: free, rest: true} }

// Room returns the size, in bytes, to which the share can be resized now.
func (s *Share) Room() int64 {
	s.sum.mu.Lock()
	defer s.sum.mu.Unlock()
	return s.free + max(s.held, s.roomLocked())
}

// roomLocked returns the bytes that the share may hold beside the other shares.
func (s *Share) roomLocked() int64 {
	room := s.sum.limit - (s.sum.held - s.held)
	if s.rest {
		return room
	}
	return room / 2
}

// Resize sets the size of the message's buffer. If the sum has no room for it, it returns an error of the type
// *TooLongError, and the share holds what it held before.
func (s *Share) Resize(size int64) error {
	if s == nil {
		return nil
	}
	s.sum.mu.Lock()
	defer s.sum.mu.Unlock()
	counted := max(0, size-s.free)
	if most := s.roomLocked(); counted > s.held && counted > most {
		return &TooLongError{What: "share of the memory for messages", Limit: most + s.free}
	}
	s.sum.held += counted - s.held
	s.held = counted
	return nil
}

// Release returns everything that the share holds.
func (s *Share) Release() { _ = s.Resize(0) } // only growing fails

// ReadAll reads at most limit bytes into a buffer that share covers. what names the message in errors.
func ReadAll(r io.Reader, limit int64, what string, share *Share) ([]byte, error) {
	limited := NewReader(r, limit, what)
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := min(max(minReadBytes, 2*int64(cap(buf))), limit+1)
			if err := share.Resize(size); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := limited.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/arbutusmill/arbutusmill/bounded"
)

// maxEventBytes limits the size of one event of a stream; a larger one is invalid.
const maxEventBytes = 1 << 20

// errPartialEvent is returned if a stream ends inside an event.
var errPartialEvent = errors.New("the stream ended inside an event")

// errLongEvent is returned for an event of more than maxEventBytes.
var errLongEvent error = &bounded.TooLongError{What: "event", Limit: maxEventBytes}

// eventReader splits a stream of server-sent events into complete events. Only complete ones are
// forwarded: if the stream breaks inside an event, another upstream can continue after the last
// complete one, without a fragment in between.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
	id  string
	// share covers buf.
	share *bounded.Share
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReader(r)}
}

// next returns the bytes of the next event with its blank line, and its id, which is ""
// if it has none. The bytes are valid until the next call. At the end of the stream it
// returns io.EOF, or errPartialEvent if the last event is incomplete.
func (e *eventReader) next() ([]byte, string, error) {
	if cap(e.buf) > freeResponseBytes {
		e.buf = nil
		e.share.Release()
	}
	e.buf, e.id = e.buf[:0], ""
	for {
		start := len(e.buf)
		if err := e.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(e.buf) > 0 {
				return nil, "", errPartialEvent
			}
			return nil, "", err
		}
		line := bytes.TrimRight(e.buf[start:], "\r\n")
		if len(line) == 0 {
			return e.buf, e.id, nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(v))
		}
	}
}

// readLine appends the next line with its line ending to the buffer.
func (e *eventReader) readLine() error {
	for {
		b, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, b...)
		if len(e.buf) > maxEventBytes {
			return errLongEvent
		}
		if err := e.share.Resize(int64(cap(e.buf))); err != nil {
			return err
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// hasMore reports whether bytes of a further event are buffered.
func (e *eventReader) hasMore() bool { return e.r.Buffered() > 0 }

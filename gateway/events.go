package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream; a longer one counts as garbled.
const maxEventBytes = 1 << 20

// errPartialEvent says that a stream ended inside an event.
var errPartialEvent = errors.New("the stream ended inside an event")

// errLongEvent says that an event passes maxEventBytes.
var errLongEvent = errors.New("an event is too long")

// eventReader cuts a stream of server-sent events into whole events. Only whole ones
// are passed on: after a break in the middle of one, another upstream can go on from
// the last whole event without a piece of the broken one in between.
type eventReader struct {
	r   *bufio.Reader
	buf []byte
	id  string
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReader(r)}
}

// next returns the bytes of the next event with its blank line, and its id, which is ""
// if it has none. The bytes are valid until the next call. At the end it returns
// io.EOF, or errPartialEvent when bytes of an event came before it.
func (e *eventReader) next() ([]byte, string, error) {
	e.buf, e.id = e.buf[:0], ""
	for {
		start := len(e.buf)
		if err := e.line(); err != nil {
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

// line appends the next line with its end.
func (e *eventReader) line() error {
	for {
		b, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, b...)
		if len(e.buf) > maxEventBytes {
			return errLongEvent
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// more reports whether bytes of a further event are at hand without waiting.
func (e *eventReader) more() bool { return e.r.Buffered() > 0 }

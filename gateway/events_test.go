package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func readEvents(r io.Reader) (events, ids []string, err error) {
	e := newEventReader(r)
	for {
		event, id, err := e.next()
		if err != nil {
			return events, ids, err
		}
		events, ids = append(events, string(event)), append(ids, id)
	}
}

func TestEvents(t *testing.T) {
	const text = "id: 1\ndata: a\n\nevent: x\r\nid:2\r\ndata: b\r\n\r\ndata: without id\n\n"
	for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		events, ids, err := readEvents(r)
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, text, strings.Join(events, ""))
		require.Equal(t, []string{"1", "2", ""}, ids)
	}
}

// Guards against partial events: an upstream closes or resets its connection in the middle of an
// event. The part is not forwarded, and the stream does not count as complete.
func TestStreamThatEndsInsideAnEvent(t *testing.T) {
	const part = "id: 1\ndata: a\n\nid: 2\ndata: b"
	events, _, err := readEvents(strings.NewReader(part))
	require.ErrorIs(t, err, errPartialEvent)
	require.Len(t, events, 1)
	reset := errors.New("reset")
	events, _, err = readEvents(io.MultiReader(strings.NewReader(part), iotest.ErrReader(reset)))
	require.ErrorIs(t, err, reset)
	require.Len(t, events, 1)
}

func TestLongEvents(t *testing.T) {
	long := "data: " + strings.Repeat("x", 100_000) + "\n\n"
	events, _, err := readEvents(strings.NewReader(long))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, []string{long}, events)
	_, _, err = readEvents(strings.NewReader(strings.Repeat("x", 2*maxEventBytes)))
	require.ErrorIs(t, err, errLongEvent)
}

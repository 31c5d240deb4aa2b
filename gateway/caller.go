package gateway

import (
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/hop"
)

// caller is the caller's side of one answer.
type caller struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
	// stream answers have no length: the router may add to them from another run.
	stream    bool
	began     bool
	status    int
	lastEvent string
}

func newCaller(w http.ResponseWriter, writeTimeout time.Duration, stream bool) *caller {
	return &caller{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout, stream: stream}
}

// Begin implements serving.Caller.
func (c *caller) Begin(status int, header map[string][]string) error {
	c.began, c.status = true, status
	h := c.w.Header()
	hop.CopyHeaders(h, header)
	if c.stream {
		h.Del("Content-Length")
	}
	// Without these nil entries the server would add headers that the upstream
	// did not send.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	c.w.WriteHeader(status)
	return nil
}

// Piece implements serving.Caller. A caller that takes nothing within the write timeout
// is cut off, so that slow ones hold bounded memory.
func (c *caller) Piece(b []byte) error {
	if err := c.rc.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return err
	}
	_, err := c.w.Write(b)
	return err
}

// Flush implements serving.Caller.
func (c *caller) Flush() error { return c.rc.Flush() }

// Began implements serving.Caller.
func (c *caller) Began() bool { return c.began }

// LastEvent implements serving.Caller.
func (c *caller) LastEvent() string { return c.lastEvent }

// SetLastEvent implements serving.Caller.
func (c *caller) SetLastEvent(id string) { c.lastEvent = id }

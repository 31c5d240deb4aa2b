package serving

import (
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/hop"
)

// HTTPCaller implements Caller over an HTTP server.
type HTTPCaller struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
	// stream is set for streams. They get no length: the router may append output of another run.
	stream    bool
	began     bool
	status    int
	first     time.Time
	lastEvent string
}

// NewHTTPCaller returns the Caller that writes one answer to w. The length of a stream is not
// known when it begins.
func NewHTTPCaller(w http.ResponseWriter, writeTimeout time.Duration, stream bool) *HTTPCaller {
	return &HTTPCaller{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout, stream: stream}
}

// Begin implements Caller.
func (c *HTTPCaller) Begin(status int, header map[string][]string) error {
	h := c.w.Header()
	defer func() {
		if !c.began {
			clear(h) // after a panic, a refusal must not carry the upstream's headers
		}
	}()
	hop.CopyHeaders(h, header)
	if c.stream {
		h.Del("Content-Length")
	}
	// Without these nil entries the server would add headers that the upstream did not send.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	c.w.WriteHeader(status)
	c.began, c.status, c.first = true, status, time.Now()
	return nil
}

// WriteChunk implements Caller. A caller that accepts nothing within the write timeout is disconnected,
// so that slow callers hold bounded memory.
func (c *HTTPCaller) WriteChunk(b []byte) error {
	if err := c.rc.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return err
	}
	_, err := c.w.Write(b)
	return err
}

// Flush implements Caller.
func (c *HTTPCaller) Flush() error { return c.rc.Flush() }

// TimeToFirstChunk returns the time from start to the first chunk, or 0 if there was none.
func (c *HTTPCaller) TimeToFirstChunk(start time.Time) time.Duration {
	if !c.began {
		return 0
	}
	return c.first.Sub(start)
}

// Status returns the status that was sent, or 0.
func (c *HTTPCaller) Status() int { return c.status }

// Began implements Caller.
func (c *HTTPCaller) Began() bool { return c.began }

// LastEvent implements Caller.
func (c *HTTPCaller) LastEvent() string { return c.lastEvent }

// SetLastEvent implements Caller.
func (c *HTTPCaller) SetLastEvent(id string) { c.lastEvent = id }

package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/hop"
	"github.com/arbutusmill/arbutusmill/openai"
)

// Limits on requests and responses.
const (
	// maxLine is the maximum length in bytes of one line of an event stream.
	maxLine = 1 << 20
	// maxBody is the maximum size of a request body in bytes: ten times the text of a prompt of
	// 200,000 tokens.
	maxBody = 8 << 20
	// maxBufferedBody is the maximum size in bytes of a body that is read into memory as a whole:
	// that of a response that is not streamed, or of a request that is claimed.
	maxBufferedBody = 8 << 20
	// copyBufferSize is the size of the buffers that forward responses.
	copyBufferSize = 32 << 10
)

// upstreamClient sends requests to this agent's upstream.
type upstreamClient struct {
	url    string
	client *http.Client
}

// newUpstreamClient returns a client of the upstream at a URL that keeps slots idle connections.
func newUpstreamClient(url string, slots int) *upstreamClient {
	return &upstreamClient{url: url, client: &http.Client{
		Transport:     bounded.Transport(&http.Transport{MaxIdleConnsPerHost: slots, DisableCompression: true}),
		CheckRedirect: bounded.KeepRedirects,
	}}
}

// errUnreached means that the request did not reach the upstream.
var errUnreached = errors.New("upstream not reached")

// call sends a request. If the error wraps errUnreached, the request had no effect on the
// upstream.
func (u *upstreamClient) call(ctx context.Context, r *http.Request, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, u.url+path, requestBody(r))
	if err != nil {
		return nil, errors.Join(errUnreached, err)
	}
	hop.CopyHeaders(req.Header, r.Header)
	req.ContentLength = r.ContentLength
	tracker := &hop.ConnTracker{}
	req = req.WithContext(tracker.Trace(ctx))
	resp, err := u.client.Do(req)
	if err != nil && !tracker.Connected() {
		err = errors.Join(errUnreached, err)
	}
	return resp, err
}

// requestBody returns a request's body for the upstream. It is wrapped so that net/http cannot
// retry the request by itself, as it does for rewindable bodies when a keep-alive connection
// breaks.
//
// A body of known length is not read beyond that length. The net/http client probes for more
// data; if the response has begun by then, the server has closed the body, the read fails, and
// the client closes the connection in the middle of the response.
func requestBody(r *http.Request) io.ReadCloser {
	limit := int64(maxBody)
	if r.ContentLength >= 0 {
		limit = min(limit, r.ContentLength)
	}
	return io.NopCloser(io.LimitReader(r.Body, limit))
}

// sink receives a response in chunks; write must not retain the chunk.
type sink interface {
	start(status int, header http.Header)
	write(chunk []byte) error
}

// copyEngineResponse forwards an engine's response and counts its tokens. It ends a stream
// with more output chunks than the limit: the request states that limit, and output beyond
// it is not covered by the reservation.
func copyEngineResponse(resp *http.Response, limit int64, to sink) (openai.Meter, error) {
	var m openai.Meter
	to.start(resp.StatusCode, resp.Header)
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		b, err := io.ReadAll(bounded.NewReader(resp.Body, maxBufferedBody, "response"))
		if err != nil {
			return m, err
		}
		m.RecordBody(b)
		return m, to.write(b)
	}
	lines := bufio.NewReaderSize(resp.Body, copyBufferSize)
	for !m.Done {
		line, err := readLine(lines)
		if err != nil {
			return m, err
		}
		m.RecordLine(line)
		if m.Outputs > limit {
			return m, errOutputLimit
		}
		if err := to.write(line); err != nil {
			return m, err
		}
	}
	return m, to.write([]byte("\n"))
}

// errOutputLimit means that an engine ignored the output limit.
var errOutputLimit = errors.New("engine passed the output limit")

// readLine returns the next line, which is valid until the next call.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	line = bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		var more []byte
		more, err = r.ReadSlice('\n')
		if len(line)+len(more) > maxLine {
			return nil, &bounded.TooLongError{What: "line of a stream", Limit: maxLine}
		}
		line = append(line, more...)
	}
	return line, err
}

// copyPlainResponse forwards a plain service's response.
func copyPlainResponse(resp *http.Response, to sink) error {
	to.start(resp.StatusCode, resp.Header)
	buf := make([]byte, copyBufferSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if werr := to.write(buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

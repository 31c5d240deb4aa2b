package agent

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/arbutusmill/arbutusmill/hop"
	"github.com/arbutusmill/arbutusmill/openai"
)

// Bounds of what is read of an upstream's answer.
const (
	// maxLine bounds one line of a stream of events.
	maxLine = 1 << 20
	// maxBody bounds a request's body: ten times the text of a prompt of 200,000 tokens.
	maxBody = 8 << 20
	// maxAnswer bounds an answer that is not streamed.
	maxAnswer = 8 << 20
	// copyBuffer is the piece in which plain answers are passed on.
	copyBuffer = 32 << 10
)

// upstreamCaller calls the one upstream that this agent stands beside.
type upstreamCaller struct {
	url    string
	client *http.Client
}

// errNotSent says that the request did not reach the upstream.
var errNotSent = errors.New("upstream not reached")

// call sends a request. An error that wraps errNotSent had no effect there.
func (u *upstreamCaller) call(ctx context.Context, r *http.Request, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, u.url+path, bodyOf(r))
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	hop.CopyHeaders(req.Header, r.Header)
	req.ContentLength = r.ContentLength
	sent := &hop.Sent{}
	req = req.WithContext(sent.Trace(ctx))
	resp, err := u.client.Do(req)
	if err != nil && !sent.Connected() {
		err = errors.Join(errNotSent, err)
	}
	return resp, err
}

// bodyOf is a request's body for the upstream. It is wrapped so that net/http cannot send it a
// second time by itself, as it does for repeatable bodies when a kept connection breaks.
//
// One of known length is not read beyond it. The client of net/http looks whether more follows;
// where the answer has begun by then, the server has closed the body, the look fails, and the
// client closes the connection in the middle of the answer.
func bodyOf(r *http.Request) io.ReadCloser {
	limit := int64(maxBody)
	if r.ContentLength >= 0 {
		limit = min(limit, r.ContentLength)
	}
	return io.NopCloser(io.LimitReader(r.Body, limit))
}

// sink takes an answer piece by piece; Write must not keep the piece.
type sink interface {
	start(status int, header http.Header)
	write(piece []byte) error
}

// passEngine passes an engine's answer on and counts its tokens. It ends a stream
// that would pass more pieces of output than the limit: the engine was told that
// limit, and what it generates beyond it is not paid for.
func passEngine(resp *http.Response, limit int64, to sink) (openai.Meter, error) {
	var m openai.Meter
	to.start(resp.StatusCode, resp.Header)
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
		if err != nil {
			return m, err
		}
		m.Whole(b)
		return m, to.write(b)
	}
	lines := bufio.NewReaderSize(resp.Body, copyBuffer)
	for !m.Done {
		line, err := readLine(lines)
		if err != nil {
			return m, err
		}
		m.Line(line)
		if m.Outputs > limit {
			return m, errOverLimit
		}
		if err := to.write(line); err != nil {
			return m, err
		}
	}
	return m, to.write([]byte("\n"))
}

// errOverLimit says that an engine ignored the output limit.
var errOverLimit = errors.New("engine passed the output limit")

func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		rest, err := r.ReadBytes('\n')
		line = append(bytes.Clone(line), rest...)
		if len(line) > maxLine {
			return nil, errors.New("line too long")
		}
		return line, err
	}
	return line, err
}

// passPlain passes a plain service's answer on.
func passPlain(resp *http.Response, to sink) error {
	to.start(resp.StatusCode, resp.Header)
	buf := make([]byte, copyBuffer)
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

package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
)

const (
	// freeBodyBytes is the size up to which a body does not count for limits.bodies_mb, so that small requests are served
	// beside many large ones.
	freeBodyBytes = 16 << 10
	// dropWait is how long a refusal waits for the rest of a body of up to freeBodyBytes, which usually came with the headers.
	dropWait = 20 * time.Millisecond
	// noRoomDelay bounds the time after which callers without room for their bodies come back.
	noRoomDelay = time.Second
)

// readBody reads the complete body, so that the request can be retried and its length is known. A body without room is
// refused, before it is read if its length is given.
func (h *requestHandler) readBody(w http.ResponseWriter, req *http.Request) *contract.Refusal {
	if req.ContentLength == 0 {
		return nil
	}
	limit := h.gateway.callerLimits().BodyBytes
	if req.ContentLength > limit {
		return refuseTooLarge(limit)
	}
	if room := h.body.Room(); req.ContentLength >= room {
		return h.refuseBody(room)
	}
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(h.request.Deadline); err != nil {
		return contract.Refuse(contract.Internal, "%v", err)
	}
	body, refusal := h.bufferBody(http.MaxBytesReader(w, req.Body, limit), bufferLimit(req.ContentLength, limit))
	if refusal != nil {
		return refusal
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return contract.Refuse(contract.Internal, "%v", err)
	}
	h.request.Body = body
	return nil
}

// bufferLimit returns the maximum size of the buffer for a body; length is -1 if it is not given.
func bufferLimit(length, limit int64) int64 {
	if length < 0 {
		return limit
	}
	return length
}

// bufferBody reads a body into a buffer that counts for limits.bodies_mb.
func (h *requestHandler) bufferBody(r io.Reader, limit int64) ([]byte, *contract.Refusal) {
	body, err := bounded.ReadAll(r, limit, "body", h.body)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, refuseTooLarge(tooLarge.Limit)
	case bounded.IsTooLong(err):
		return nil, h.refuseBody(h.body.Room())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, contract.Refuse(contract.DeadlineTooShort, "the body did not come in time")
	}
	return nil, contract.Refuse(contract.BadRequest, "the body could not be read: %v", err)
}

func refuseTooLarge(limit int64) *contract.Refusal {
	return contract.Refuse(contract.BodyTooLarge, "the body is larger than %d bytes", limit)
}

// refuseBody counts and returns the refusal of a request whose body has no room.
func (h *requestHandler) refuseBody(room int64) *contract.Refusal {
	h.gateway.metrics.bodyWithoutRoom()
	refusal := contract.Refuse(contract.Overloaded, "this router has no room for the body").WithRetryAfter(backoff.Jitter(noRoomDelay))
	refusal.Detail = fmt.Sprintf("bodies hold %d bytes, room for one of %d", h.gateway.bodies.Held(), room)
	return refusal
}

// dropBody prepares the refusal of a request whose body is not read to its end. Without it, net/http would read up to
// 256 KiB before the refusal is sent, without a deadline. The connection can only be kept once the body has been read.
func (h *requestHandler) dropBody(w http.ResponseWriter, req *http.Request) error {
	if req.ContentLength == 0 {
		return nil
	}
	rc := http.NewResponseController(w)
	if req.ContentLength <= freeBodyBytes && req.Header.Get("Expect") == "" {
		if err := rc.SetReadDeadline(time.Now().Add(dropWait)); err != nil {
			return err
		}
		if _, err := io.CopyN(io.Discard, req.Body, freeBodyBytes+1); errors.Is(err, io.EOF) {
			return rc.SetReadDeadline(time.Time{})
		}
	}
	w.Header().Set("Connection", "close")
	return rc.SetReadDeadline(time.Now().Add(h.gateway.callerLimits().HeaderTimeout))
}

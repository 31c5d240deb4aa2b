// Package etcd implements store.Store over the JSON gateway of the etcd v3 API.
package etcd

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/coord/store"
)

// Store is a store.Store over the etcd v3 JSON API.
type Store struct {
	// URL is the base address, such as http://127.0.0.1:2379.
	URL string
	// Client sends the calls. It must have no overall timeout, which would end
	// watches.
	Client *http.Client
	// Timeout bounds each call except watches.
	Timeout time.Duration
	// MaxAnswerBytes limits an answer, and each message of a watch; 0 stands for 48 MiB.
	MaxAnswerBytes int64
}

var _ store.Store = (*Store)(nil)

// call posts a JSON request and decodes the JSON response. A transport
// error or an unmapped status counts as an unknown outcome: a write may have taken
// effect before its response was lost.
func (e *Store) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	resp, err := e.post(ctx, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := bounded.DecodeJSON(resp.Body, cmp.Or(e.MaxAnswerBytes, defaultMaxAnswerBytes), path, out); err != nil {
		return store.Error.Wrap(fmt.Errorf("%w: %w", store.ErrUnknown, err))
	}
	return nil
}

func (e *Store) post(ctx context.Context, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, store.Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, store.Error.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.Client.Do(req)
	if err != nil {
		return nil, unknownOutcome(path, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, statusError(path, resp)
	}
	return resp, nil
}

func unknownOutcome(path string, err error) error {
	return store.Error.Wrap(fmt.Errorf("%s: %w: %w", path, store.ErrUnknown, err))
}

// defaultMaxAnswerBytes is the default of Store.MaxAnswerBytes. A range is one answer: 8,000 entries of 4 KB, as base64
// text.
const defaultMaxAnswerBytes = 48 << 20

// maxErrorBytes bounds how much of an error's body is read.
const maxErrorBytes = 4 << 10

// statusError maps the gRPC error messages with a definite outcome; the outcome of all
// others is unknown.
func statusError(path string, resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	text := string(b)
	switch {
	case strings.Contains(text, "requested lease not found"):
		return store.Error.Wrap(store.ErrNoLease)
	case strings.Contains(text, "request is too large"):
		return store.Error.Wrap(store.ErrTooLarge)
	}
	return unknownOutcome(path, fmt.Errorf("status %d: %.200s", resp.StatusCode, text))
}

// Get implements store.Store.
func (e *Store) Get(ctx context.Context, key string) (store.Item, error) {
	var out RangeResponse
	if err := e.call(ctx, "/v3/kv/range", RangeRequest{Key: []byte(key)}, &out); err != nil {
		return store.Item{}, err
	}
	if len(out.KVs) == 0 {
		return store.Item{Key: key}, nil
	}
	return out.KVs[0].item(), nil
}

// List implements store.Store.
func (e *Store) List(ctx context.Context, prefix, from string, limit int) ([]store.Item, error) {
	items, _, err := e.read(ctx, RangeRequest{Key: []byte(max(prefix, from)), RangeEnd: prefixEnd(prefix), Limit: int64(limit)})
	return items, err
}

// Snapshot implements store.Store.
func (e *Store) Snapshot(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	return e.read(ctx, RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)})
}

// StaleSnapshot implements store.Store with a serializable read, which a single member of the
// cluster answers without consensus.
func (e *Store) StaleSnapshot(ctx context.Context, prefix string) ([]store.Item, error) {
	in := RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Serializable: true}
	items, _, err := e.read(ctx, in)
	return items, err
}

func (e *Store) read(ctx context.Context, in RangeRequest) ([]store.Item, store.Revision, error) {
	var out RangeResponse
	if err := e.call(ctx, "/v3/kv/range", in, &out); err != nil {
		return nil, 0, err
	}
	items := make([]store.Item, len(out.KVs))
	for i, kv := range out.KVs {
		items[i] = kv.item()
	}
	return items, store.Revision(out.Header.Revision), nil
}

// CompareAndSwap implements store.Store.
func (e *Store) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.Error.Wrap(store.ErrTooLarge)
	}
	put := &PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	return e.compareAndApply(ctx, key, expect, RequestOp{Put: put})
}

// Delete implements store.Store.
func (e *Store) Delete(ctx context.Context, key string, expect store.Revision) error {
	_, err := e.compareAndApply(ctx, key, expect, RequestOp{DeleteRange: &DeleteRangeRequest{Key: []byte(key)}})
	return err
}

func (e *Store) compareAndApply(ctx context.Context, key string, expect store.Revision, op RequestOp) (store.Revision, error) {
	in := TxnRequest{
		Compare: []Compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: int64(expect)}},
		Success: []RequestOp{op},
	}
	var out TxnResponse
	if err := e.call(ctx, "/v3/kv/txn", in, &out); err != nil {
		return 0, err
	}
	if !out.Succeeded {
		return 0, store.Error.Wrap(store.ErrConflict)
	}
	return store.Revision(out.Header.Revision), nil
}

// GrantLease implements store.Store.
func (e *Store) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	in := LeaseGrantRequest{TTL: int64(max(1, ttl/time.Second))}
	var out LeaseGrantResponse
	if err := e.call(ctx, "/v3/lease/grant", in, &out); err != nil {
		return 0, err
	}
	return store.LeaseID(out.ID), nil
}

// KeepAlive implements store.Store.
func (e *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	var out LeaseKeepAliveResult
	if err := e.call(ctx, "/v3/lease/keepalive", LeaseKeepAliveRequest{ID: int64(id)}, &out); err != nil {
		return err
	}
	if out.Result.TTL <= 0 {
		return store.Error.Wrap(store.ErrNoLease)
	}
	return nil
}

// EndLease implements store.Store.
func (e *Store) EndLease(ctx context.Context, id store.LeaseID) error {
	var out struct{}
	err := e.call(ctx, "/v3/lease/revoke", LeaseRevokeRequest{ID: int64(id)}, &out)
	if errors.Is(err, store.ErrNoLease) {
		return nil
	}
	return err
}

// watchBuffer is the number of events buffered for the receiver of a watch.
const watchBuffer = 64

// Watch implements store.Store.
func (e *Store) Watch(ctx context.Context, prefix string, after store.Revision) (<-chan store.Event, error) {
	in := WatchRequest{Create: WatchCreateRequest{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: int64(after) + 1, ProgressNotify: true,
	}}
	resp, err := e.post(ctx, "/v3/watch", in)
	if err != nil {
		return nil, err
	}
	events := make(chan store.Event, watchBuffer)
	go e.readWatch(ctx, resp.Body, events)
	return events, nil
}

func (e *Store) readWatch(ctx context.Context, body io.ReadCloser, events chan<- store.Event) {
	defer close(events)
	defer body.Close()
	limited := bounded.NewReader(body, cmp.Or(e.MaxAnswerBytes, defaultMaxAnswerBytes), "watch")
	dec := json.NewDecoder(limited)
	for {
		limited.Reset()
		var msg WatchResult
		if err := dec.Decode(&msg); err != nil || msg.Result.Canceled {
			return
		}
		for _, ev := range msg.Result.storeEvents() {
			select {
			case events <- ev:
			case <-ctx.Done():
				return
			}
		}
	}
}

// prefixEnd returns the first key after all keys with the prefix, or a zero byte if
// there is none, which the API reads as no upper bound.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

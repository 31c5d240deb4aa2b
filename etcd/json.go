package etcd

import "github.com/arbutusmill/arbutusmill/coord/store"

// The messages below are those of the etcd v3 API in their published JSON form
// (etcd documentation, "gRPC gateway"): bytes are base64, 64-bit integers are
// strings, zero values are omitted. The stand-in of the platform uses them too.

// Header is the header common to all responses.
type Header struct {
	Revision int64 `json:"revision,omitempty,string"`
}

// KeyValue is a key with its value and revisions.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,omitempty,string"`
	// CreateRevision is the revision at which the key was created.
	CreateRevision int64 `json:"create_revision,omitempty,string"`
}

func (kv KeyValue) item() store.Item {
	return store.Item{Key: string(kv.Key), Value: kv.Value, Revision: store.Revision(kv.ModRevision),
		Created: store.Revision(kv.CreateRevision)}
}

// RangeRequest reads a key, or the keys from Key up to RangeEnd, exclusive.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,omitempty,string"`
	// Serializable allows a stale read.
	Serializable bool `json:"serializable,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,omitempty,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

// DeleteRangeRequest deletes a key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction.
type RequestOp struct {
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// TxnRequest executes Success if every condition holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseGrantRequest creates a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseGrantResponse is the response to a LeaseGrantRequest.
type LeaseGrantResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

// LeaseKeepAliveRequest renews a lease.
type LeaseKeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseKeepAliveResult is the response to a LeaseKeepAliveRequest; a TTL of 0 means
// that the lease no longer exists.
type LeaseKeepAliveResult struct {
	Result LeaseGrantResponse `json:"result"`
}

// LeaseRevokeRequest revokes a lease.
type LeaseRevokeRequest struct {
	ID int64 `json:"ID,string"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest holds the key range to watch and the first revision.
type WatchCreateRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,omitempty,string"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchResult is one message of a watch.
type WatchResult struct {
	Result WatchResponse `json:"result"`
}

// WatchResponse holds events; without any it is a progress notification.
type WatchResponse struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,omitempty,string"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// EventDelete is the event type of a deletion; a put has the zero value.
const EventDelete = "DELETE"

// WatchEvent is the change of one key.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

func (w WatchResponse) storeEvents() []store.Event {
	if w.Created {
		return nil
	}
	if len(w.Events) == 0 {
		return []store.Event{{Item: store.Item{Revision: store.Revision(w.Header.Revision)}, Progress: true}}
	}
	out := make([]store.Event, len(w.Events))
	for i, ev := range w.Events {
		out[i] = store.Event{Item: ev.KV.item(), Deleted: ev.Type == EventDelete}
	}
	return out
}

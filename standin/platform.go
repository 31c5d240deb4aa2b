// Package standin has small stand-ins for the systems around a fleet: the
// platform's store and VM list, a model engine, and a plain service. They are for
// tests, demos and measurements; failures can be injected over HTTP.
package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/coord/store/memstore"
	"github.com/arbutusmill/arbutusmill/etcd"
	"github.com/arbutusmill/arbutusmill/vm"
)

// Platform serves a memstore over the etcd v3 JSON API, and a VM list.
type Platform struct {
	Store *memstore.Store

	mu  sync.Mutex
	vms []vm.VM
}

// NewPlatform returns a platform with an empty store and the given VMs.
func NewPlatform(vms []vm.VM) *Platform {
	return &Platform{Store: memstore.New(), vms: vms}
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []vm.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// Handler returns the HTTP interface:
//
//	POST /v3/...          the etcd v3 JSON API
//	GET  /vms             the VM list; PUT replaces it
//	PUT  /control/faults  memstore.Faults as JSON
//	GET  /control/calls   memstore.Calls as JSON
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", p.kvRange)
	mux.HandleFunc("POST /v3/kv/txn", p.kvTxn)
	mux.HandleFunc("POST /v3/watch", p.watch)
	mux.HandleFunc("POST /v3/lease/grant", p.leaseGrant)
	mux.HandleFunc("POST /v3/lease/keepalive", p.leaseKeepAlive)
	mux.HandleFunc("POST /v3/lease/revoke", p.leaseRevoke)
	mux.HandleFunc("GET /vms", p.getVMs)
	mux.HandleFunc("PUT /vms", p.putVMs)
	mux.HandleFunc("PUT /control/faults", p.putFaults)
	mux.HandleFunc("GET /control/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Store.Calls()) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeError answers a store error as the API does.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrNoLease):
		http.Error(w, `{"error":"etcdserver: requested lease not found","code":5}`, http.StatusNotFound)
	case errors.Is(err, store.ErrTooLarge):
		http.Error(w, `{"error":"etcdserver: request is too large","code":3}`, http.StatusBadRequest)
	default:
		http.Error(w, `{"error":"etcdserver: request timed out","code":14}`, http.StatusServiceUnavailable)
	}
}

func keyValue(it store.Item) etcd.KeyValue {
	return etcd.KeyValue{Key: []byte(it.Key), Value: it.Value, ModRevision: int64(it.Revision),
		CreateRevision: int64(it.Created)}
}

func (p *Platform) kvRange(w http.ResponseWriter, r *http.Request) {
	var in etcd.RangeRequest
	if !readJSON(w, r, &in) {
		return
	}
	revision := int64(p.Store.Revision())
	items, err := p.items(r, in)
	if err != nil {
		writeError(w, err)
		return
	}
	out := etcd.RangeResponse{Header: etcd.Header{Revision: revision}, Count: int64(len(items))}
	for _, it := range items {
		out.KVs = append(out.KVs, keyValue(it))
	}
	writeJSON(w, out)
}

// items reads one key, or the keys from in.Key to the end of a prefix.
func (p *Platform) items(r *http.Request, in etcd.RangeRequest) ([]store.Item, error) {
	if len(in.RangeEnd) == 0 {
		it, err := p.Store.Get(r.Context(), string(in.Key))
		if err != nil || it.Revision == 0 {
			return nil, err
		}
		return []store.Item{it}, nil
	}
	limit := int(in.Limit)
	if limit == 0 {
		limit = int(^uint(0) >> 1)
	}
	end := string(in.RangeEnd)
	return p.Store.List(r.Context(), prefixFromEnd(end), string(in.Key), limit)
}

// prefixFromEnd returns the prefix whose range ends at the key, the inverse of the
// client's encoding.
func prefixFromEnd(end string) string {
	b := []byte(end)
	b[len(b)-1]--
	return string(b)
}

func (p *Platform) kvTxn(w http.ResponseWriter, r *http.Request) {
	var in etcd.TxnRequest
	if !readJSON(w, r, &in) {
		return
	}
	if len(in.Compare) != 1 || len(in.Success) != 1 {
		http.Error(w, "the stand-in supports exactly one compare and one operation", http.StatusBadRequest)
		return
	}
	rev, err := p.apply(r, in.Compare[0], in.Success[0])
	if err != nil && !errors.Is(err, store.ErrConflict) {
		writeError(w, err)
		return
	}
	writeJSON(w, etcd.TxnResponse{Header: etcd.Header{Revision: int64(rev)}, Succeeded: err == nil})
}

func (p *Platform) apply(r *http.Request, c etcd.Compare, op etcd.RequestOp) (store.Revision, error) {
	expect := store.Revision(c.ModRevision)
	if op.DeleteRange != nil {
		return 0, p.Store.Delete(r.Context(), string(c.Key), expect)
	}
	return p.Store.CompareAndSwap(r.Context(), string(c.Key), expect, op.Put.Value, store.LeaseID(op.Put.Lease))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	var in etcd.WatchRequest
	if !readJSON(w, r, &in) {
		return
	}
	prefix := string(in.Create.Key)
	events, err := p.Store.Watch(r.Context(), prefix, store.Revision(in.Create.StartRevision-1))
	if err != nil {
		writeError(w, err)
		return
	}
	rc := http.NewResponseController(w)
	writeJSON(w, etcd.WatchResult{Result: etcd.WatchResponse{Created: true}})
	_ = rc.Flush()
	for ev := range events {
		writeJSON(w, etcd.WatchResult{Result: watchResponse(ev)})
		_ = rc.Flush()
	}
}

func watchResponse(ev store.Event) etcd.WatchResponse {
	out := etcd.WatchResponse{Header: etcd.Header{Revision: int64(ev.Revision)}}
	if ev.Progress {
		return out
	}
	e := etcd.WatchEvent{KV: keyValue(ev.Item)}
	if ev.Deleted {
		e.Type = etcd.EventDelete
	}
	out.Events = []etcd.WatchEvent{e}
	return out
}

func (p *Platform) leaseGrant(w http.ResponseWriter, r *http.Request) {
	var in etcd.LeaseGrantRequest
	if !readJSON(w, r, &in) {
		return
	}
	id, err := p.Store.GrantLease(r.Context(), time.Duration(in.TTL)*time.Second)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, etcd.LeaseGrantResponse{ID: int64(id), TTL: in.TTL})
}

func (p *Platform) leaseKeepAlive(w http.ResponseWriter, r *http.Request) {
	var in etcd.LeaseKeepAliveRequest
	if !readJSON(w, r, &in) {
		return
	}
	out := etcd.LeaseKeepAliveResult{Result: etcd.LeaseGrantResponse{ID: in.ID, TTL: 1}}
	if err := p.Store.KeepAlive(r.Context(), store.LeaseID(in.ID)); err != nil {
		if !errors.Is(err, store.ErrNoLease) {
			writeError(w, err)
			return
		}
		out.Result.TTL = 0
	}
	writeJSON(w, out)
}

func (p *Platform) leaseRevoke(w http.ResponseWriter, r *http.Request) {
	var in etcd.LeaseRevokeRequest
	if !readJSON(w, r, &in) {
		return
	}
	if err := p.Store.EndLease(r.Context(), store.LeaseID(in.ID)); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

func (p *Platform) getVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.vms)
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var list []vm.VM
	if readJSON(w, r, &list) {
		p.SetVMs(list)
	}
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f memstore.Faults
	if readJSON(w, r, &f) {
		p.Store.SetFaults(f)
	}
}

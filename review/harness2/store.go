package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

// storeEnd names the platform's store in a network.
const storeEnd = "store"

// memberPrefix begins the keys with which processes announce their addresses to each other.
const memberPrefix = "arbutusmill/member/"

// txnPath is the path of the store's transactions.
const txnPath = "/arbutusmill/kv-txn"

// platformStore is the project's stand-in of the platform's store. Addresses that processes announce are replaced by those of the
// proxies before them.
type platformStore struct {
	*standin.Store
	address string

	mu sync.Mutex
	// proxies are the addresses of the proxies by the addresses behind them.
	proxies map[string]string
}

func (c *caseRun) newStore() (*platformStore, error) {
	s := &platformStore{Store: standin.NewStore(), proxies: map[string]string{}}
	var err error
	s.address, err = c.serve(s.handler(s.Handler()))
	return s, err
}

// serve runs an HTTP server until the end of the case, and returns its address.
func (c *caseRun) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	c.onClose(func() { _ = server.Close() })
	return ln.Addr().String(), nil
}

// route makes an announced address lead to a proxy.
func (s *platformStore) route(address, proxy string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proxies[address] = proxy
}

// transaction is the part of a transaction that handler changes.
type transaction struct {
	Precondition json.RawMessage `json:"precondition,omitempty"`
	SetKeys      []put           `json:"set_keys"`
	Remove       json.RawMessage `json:"remove,omitempty"`
}

type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

func (s *platformStore) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != txnPath {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		body = s.rewrite(body)
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		next.ServeHTTP(w, r)
	})
}

// rewrite replaces the addresses in members' entries.
func (s *platformStore) rewrite(body []byte) []byte {
	var t transaction
	if json.Unmarshal(body, &t) != nil {
		return body
	}
	changed := false
	for i, p := range t.SetKeys {
		if !strings.HasPrefix(p.Key, memberPrefix) {
			continue
		}
		var entry map[string]any
		if json.Unmarshal(p.Value, &entry) != nil {
			continue
		}
		address, _ := entry["address"].(string)
		s.mu.Lock()
		to, known := s.proxies[address]
		s.mu.Unlock()
		if !known {
			continue
		}
		entry["address"] = to
		if value, err := json.Marshal(entry); err == nil {
			t.SetKeys[i].Value, changed = value, true
		}
	}
	if !changed {
		return body
	}
	out, err := json.Marshal(t)
	if err != nil {
		return body
	}
	return out
}

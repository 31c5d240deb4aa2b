package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/prepaid"
)

const (
	// entriesTimeout bounds a read of the upstreams' entries.
	entriesTimeout = 300 * time.Millisecond
	// entriesInterval is the minimum interval between two such reads by one router.
	entriesInterval = 250 * time.Millisecond
	// maxViewAge is the age of this router's view for which an answer waits no longer, viewTimeout how long it waits at most, and viewInterval the
	// interval between two looks.
	maxViewAge   = 1500 * time.Millisecond
	viewTimeout  = time.Second
	viewInterval = 25 * time.Millisecond
	// soleVersionTimeout bounds the question to another router, which reads the entries for it.
	soleVersionTimeout = viewTimeout + entriesInterval + entriesTimeout
	// soleVersionPeers is how many other routers are asked for a service's only version.
	soleVersionPeers = 3
)

// soleVersions finds out whether all streams of a service that can still be taken up began at the same version,
// which holds for a stream without a record. This router's own view may lag behind that of another one, which may
// have sent events of a version that is new. So the entries are read from the store, after the stream was to be
// taken up. The view must have been followed without a gap before. A gap that has just begun hides no version: the
// entry of an upstream that has ended remains for longer than the gap takes to be detected.
type soleVersions struct {
	g *Gateway
	// reading is held during a read of the entries.
	reading chan struct{}

	mu sync.Mutex
	// next is the read that has not begun.
	next   *entriesRead
	readAt time.Time
	peers  memberNames
}

// entriesRead is one read of the upstreams' entries from the store.
type entriesRead struct {
	done chan struct{}
	// versions are those listed, by service.
	versions map[string]map[string]bool
	err      error
}

func newSoleVersions(g *Gateway) *soleVersions {
	return &soleVersions{g: g, reading: make(chan struct{}, 1), peers: memberNames{role: prepaid.RoleRouter}}
}

// find returns the only version of a service, and the router that knows it.
func (v *soleVersions) find(ctx context.Context, service string) (version, from string, ok bool) {
	if version, ok = v.findLocally(ctx, service); ok {
		return version, v.g.Incarnation, true
	}
	peers := v.peers.top(v.g.Members, service, soleVersionPeers, v.g.settings.VM)
	for a := range v.g.askAll(ctx, peers, soleVersionTimeout, link.MethodSoleVersion, link.SoleVersionRequest{Service: service}) {
		if a.err == nil && a.reply.Known {
			return a.reply.Version, a.from, true
		}
	}
	return "", "", false
}

// handle answers another router's question for a service's only version.
func (v *soleVersions) handle(ctx context.Context, in link.SoleVersionRequest) (link.VersionReply, error) {
	version, known := v.findLocally(ctx, in.Service)
	return link.VersionReply{Version: version, Known: known}, nil
}

// awaitView waits for a while until this router has the changes of the entries that a version could be missed without: between two answers
// of the store it may lack those of the last seconds.
func (v *soleVersions) awaitView(ctx context.Context) {
	for until := time.Now().Add(viewTimeout); v.g.directory.Unseen() > maxViewAge && time.Now().Before(until); {
		if backoff.Sleep(ctx, viewInterval) != nil {
			return
		}
	}
}

// findLocally returns the only version of a service by this router's view and the store's present entries.
func (v *soleVersions) findLocally(ctx context.Context, service string) (version string, ok bool) {
	v.awaitView(ctx)
	if version, ok = v.g.directory.SoleVersion(service, takeUpWindow); !ok {
		return "", false
	}
	read, err := v.readEntries(ctx)
	if err != nil {
		v.g.Log.Warn().Err(err).Str("service", service).Msg("versions_not_read")
		return "", false
	}
	if listed := read.versions[service]; len(listed) > 1 || len(listed) == 1 && !listed[version] {
		return "", false
	}
	return version, true
}

// readEntries returns the result of a read that begins after the call; calls that wait share one.
func (v *soleVersions) readEntries(ctx context.Context) (*entriesRead, error) {
	v.mu.Lock()
	if v.next == nil {
		v.next = &entriesRead{done: make(chan struct{})}
		go v.run(v.next)
	}
	read := v.next
	v.mu.Unlock()
	select {
	case <-read.done:
		return read, read.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run makes a read after the one before it.
func (v *soleVersions) run(read *entriesRead) {
	defer close(read.done)
	v.reading <- struct{}{}
	defer func() { <-v.reading }()
	time.Sleep(entriesInterval - time.Since(v.readAt))
	v.mu.Lock()
	v.next = nil
	v.mu.Unlock()
	v.readAt = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), entriesTimeout)
	defer cancel()
	items, _, err := v.g.Store.Snapshot(ctx, platform.UpstreamPrefix)
	if err != nil {
		read.err = err
		return
	}
	read.versions = map[string]map[string]bool{}
	for _, it := range items {
		u, err := platform.DecodeUpstream(it)
		if err != nil {
			continue // reported when the directory reads it; it names no upstream
		}
		if read.versions[u.Service] == nil {
			read.versions[u.Service] = map[string]bool{}
		}
		read.versions[u.Service][u.Version] = true
	}
}

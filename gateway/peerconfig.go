package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/platform"
)

const (
	// configFetchTimeout bounds how long a router that starts looks for a newer configuration, configCallTimeout one
	// question.
	configFetchTimeout = 5 * time.Second
	configCallTimeout  = time.Second
	// routersAskedForConfig is how many others are asked: one of them may have just started as well.
	routersAskedForConfig = 2
)

// activeConfig holds the document of the active configuration, for routers that start.
type activeConfig struct {
	document atomic.Pointer[link.ConfigReply]
}

// record records a document that was activated.
func (a *activeConfig) record(version int64, value []byte) {
	a.document.Store(&link.ConfigReply{Version: version, Document: value})
}

// newerThan answers a router that starts.
func (a *activeConfig) newerThan(_ context.Context, in link.ConfigRequest) (link.ConfigReply, error) {
	if have := a.document.Load(); have != nil && have.Version > in.Version {
		return *have, nil
	}
	return link.ConfigReply{}, nil
}

// fetchNewerConfig asks other routers for a newer configuration than the store has. It may have been restored from an older copy just
// before this router started, until operators write theirs again; routers that run keep the newest one.
func (g *Gateway) fetchNewerConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	retry := backoff.New(minFetchBackoff, maxFetchBackoff)
	for g.catalog.Load() == nil || !g.askForConfig(ctx) {
		if retry.Wait(ctx) != nil {
			return
		}
	}
}

// askForConfig asks other routers, and reports whether any replied.
func (g *Gateway) askForConfig(ctx context.Context) (replied bool) {
	others := g.prompts.otherRouters()
	for _, m := range others[:min(routersAskedForConfig, len(others))] {
		replied = g.askOneForConfig(ctx, m) || replied
	}
	return replied
}

func (g *Gateway) askOneForConfig(ctx context.Context, m member.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, configCallTimeout)
	defer cancel()
	var reply link.ConfigReply
	err := g.Links.Call(ctx, m.Address, link.MethodConfig, link.ConfigRequest{Version: g.catalog.Load().Version}, &reply)
	if err != nil {
		g.Log.Info().Err(err).Str("from", m.ID).Msg("configuration_not_learned") // another one is asked, or this one again
		return errors.Is(err, link.ErrUnknownMethod)
	}
	if reply.Version == 0 {
		return true
	}
	g.Log.Info().Str("from", m.ID).Int64("version", reply.Version).Msg("configuration_learned")
	g.operatorReader.mu.Lock()
	defer g.operatorReader.mu.Unlock()
	g.operatorReader.applyConfig(store.Item{Key: platform.ConfigKey, Value: reply.Document})
	return true
}

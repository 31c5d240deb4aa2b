package hosted

import (
	"context"
	"time"

	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/streamversion"
)

// StreamMethods returns the handlers with which a process keeps records of which version began a stream.
func StreamMethods(r *streamversion.Registry) map[string]link.Handler {
	return map[string]link.Handler{
		link.MethodStreamBegan: link.Handle(func(_ context.Context, in streamversion.Record) (link.Empty, error) {
			r.Add(time.Now(), in)
			return link.Empty{}, nil
		}),
		link.MethodStreamsMoved: link.Handle(func(_ context.Context, in []streamversion.Record) (link.Empty, error) {
			for _, rec := range in {
				r.Add(time.Now(), rec)
			}
			return link.Empty{}, nil
		}),
		link.MethodStreamFind: link.Handle(func(_ context.Context, in streamversion.Stream) (link.VersionReply, error) {
			version, age, known := r.Find(time.Now(), in)
			return link.VersionReply{Version: version, Known: known, Age: age}, nil
		}),
	}
}

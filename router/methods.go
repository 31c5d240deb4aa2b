package router

import (
	"context"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/recovery"
	"github.com/arbutusmill/arbutusmill/link"
)

// methods answers the control messages of other processes.
func (r *Router) methods() map[string]link.Handler {
	return map[string]link.Handler{
		link.MethodLend:       link.Handle(r.lend),
		link.MethodReturn:     link.Handle(r.takeBack),
		link.MethodDisown:     link.Handle(r.disown),
		link.MethodWatermarks: link.Handle(r.watermarks),
		link.MethodAppend:     link.Handle(r.appendCharges),
		link.MethodFence:      link.Handle(r.fencePeer),
		link.MethodSettleLot:  link.Handle(r.takeBack),
	}
}

func (r *Router) lend(_ context.Context, in link.LendRequest) (grant.Lot, error) {
	return r.holder.Lend(time.Now(), in.Budget, in.ID, in.Borrower, in.Need, in.Want)
}

// takeBack settles a lot. A lot of an earlier life is not known here; its row's
// recovery settles it.
func (r *Router) takeBack(_ context.Context, in grant.LotReturn) (link.Empty, error) {
	if in.Lender == r.holder.ID() {
		r.holder.TakeBack(time.Now(), in)
	}
	return link.Empty{}, nil
}

// disown answers only for this life: what an earlier one did with its lots is for
// its recovery to find out.
func (r *Router) disown(_ context.Context, in link.DisownRequest) (link.DisownReply, error) {
	if in.Borrower != r.holder.ID() {
		return link.DisownReply{}, nil
	}
	return link.DisownReply{Parts: r.holder.Disown(in.Parts)}, nil
}

func (r *Router) fencePeer(_ context.Context, in link.FenceRequest) (recovery.PeerEvidence, error) {
	if in.Holder == r.holder.ID() {
		r.holder.Fence()
		return recovery.PeerEvidence{}, nil
	}
	r.holder.ShutOut(in.Holder)
	return recovery.PeerEvidence{Lots: r.holder.LentTo(in.Holder)}, nil
}

// watermarks tells an agent which evidence it may forget: of this life from memory,
// of others from the pages. A row that is gone needs no evidence.
func (r *Router) watermarks(ctx context.Context, in link.WatermarkRequest) (link.WatermarkReply, error) {
	out := link.WatermarkReply{Through: map[string]int64{}}
	if in.Holder == r.holder.ID() {
		r.reportNow(ctx, in)
		for _, b := range in.Budgets {
			out.Through[b] = r.holder.Watermarks(b)[in.Holder]
		}
		return out, nil
	}
	book := account.Book{Store: r.base.Store, Layout: r.layout}
	for _, b := range in.Budgets {
		a, err := book.Get(ctx, b)
		if err != nil {
			return out, err
		}
		out.Through[b] = account.MaxTokens
		if row := a.Rows[in.Holder]; row != nil {
			out.Through[b] = row.Through
		}
	}
	return out, nil
}

// reportNow writes what is unreported, for an agent that is leaving.
func (r *Router) reportNow(ctx context.Context, in link.WatermarkRequest) {
	if !in.Urgent {
		return
	}
	r.holder.ReportNow(in.Budgets)
	synced := map[string]bool{}
	for _, b := range in.Budgets {
		if key := r.layout.Key(b); !synced[key] {
			synced[key] = true
			r.syncPage(ctx, key)
		}
	}
}

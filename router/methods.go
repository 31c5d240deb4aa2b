package router

import (
	"context"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/recovery"
	"github.com/arbutusmill/arbutusmill/link"
)

// methods returns the handlers for control messages of other processes.
func (r *Router) methods() map[string]link.Handler {
	m := r.endpoint.Methods()
	m[link.MethodWatermarks] = link.Handle(r.watermarks)
	m[link.MethodAppend] = link.Handle(r.appendCharges)
	m[link.MethodFence] = link.Handle(r.fencePeer)
	m[link.MethodSettleLot] = link.Handle(r.settleLot)
	return m
}

// settleLot settles a lot of a dead borrower by the evidence that recovery collected.
func (r *Router) settleLot(_ context.Context, in grant.LotReturn) (link.Empty, error) {
	if in.Lender == r.holder.ID() {
		r.holder.TakeBack(time.Now(), in)
	}
	return link.Empty{}, nil
}

func (r *Router) fencePeer(_ context.Context, in link.FenceRequest) (recovery.PeerEvidence, error) {
	if in.Holder == r.holder.ID() {
		r.holder.Fence()
		return recovery.PeerEvidence{}, nil
	}
	r.holder.ExcludeHolder(in.Holder)
	return recovery.PeerEvidence{Lots: r.holder.LentTo(in.Holder)}, nil
}

// watermarks returns the watermarks up to which an agent may discard evidence: for this
// incarnation from memory, for other holders from the pages. A row that no longer exists
// needs no evidence.
func (r *Router) watermarks(ctx context.Context, in link.WatermarkRequest) (link.WatermarkReply, error) {
	out := link.WatermarkReply{Through: map[string]int64{}}
	if in.Holder == r.holder.ID() {
		r.reportNow(ctx, in)
		for _, b := range in.Budgets {
			out.Through[b] = r.holder.Watermarks(b)[in.Holder]
		}
		return out, nil
	}
	admin := account.AdminClient{Store: r.base.Store, Layout: r.layout}
	for _, b := range in.Budgets {
		a, err := admin.Get(ctx, b)
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

// reportNow writes the unreported totals, for an agent that is shutting down.
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

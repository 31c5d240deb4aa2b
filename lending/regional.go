package lending

import (
	"context"

	"github.com/arbutusmill/arbutusmill/link"
)

// SendPage sends a page that this lender wrote to the primary lender of another region.
func (e *Endpoint) SendPage(ctx context.Context, peer string, notice link.PageNotice) error {
	return e.call(ctx, peer, link.MethodPage, notice, nil)
}

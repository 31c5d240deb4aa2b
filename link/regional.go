package link

import "github.com/arbutusmill/arbutusmill/coord/store"

// MethodPage sends a page of budgets that a lender wrote to the primary lenders of other regions, so that their next
// writes need no read: PageNotice, Empty.
const MethodPage = "budget.page"

// PageNotice is a page of budgets as it was written.
type PageNotice struct {
	// Key is the page's key in the store, Revision that of the write.
	Key      string         `json:"key"`
	Revision store.Revision `json:"revision"`
	Value    []byte         `json:"value"`
}

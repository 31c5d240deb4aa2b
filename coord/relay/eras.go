package relay

import "github.com/arbutusmill/arbutusmill/coord/store"

// addEras completes the positions of a follower without eras: its revisions count as those of the era that
// the relay follows.
func (h *Hub) addEras(positions []Position) {
	h.init()
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, p := range positions {
		if f := h.feeds[p.Prefix]; f != nil {
			positions[i].After = store.NewRevision(f.era(), p.After.Number())
		}
	}
}

func (f *feed) era() store.Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at.Era()
}

// removeEras replaces the revisions of a reply by the store's numbers.
func (r Reply) removeEras() {
	for i := range r.Updates {
		u := &r.Updates[i]
		u.At = store.Revision(u.At.Number())
		for j := range u.Changes {
			c := &u.Changes[j]
			c.Revision, c.Created = store.Revision(c.Revision.Number()), store.Revision(c.Created.Number())
		}
	}
}

package directory

import "time"

// maxUnseen is the longest time without the changes of the entries, as from the last moment at which no request could be served to the first
// read, in which no version is missed: an upstream that served is listed for longer than that.
const maxUnseen = 2 * time.Second

// versionHistory records which versions of each service were listed when.
type versionHistory struct {
	// lastListed holds, by service and version, when an entry was last known to be listed. It may lack present
	// entries, and versions that were listed before the window of a question.
	lastListed map[string]map[string]time.Time
	// since is the time since which no change was missed.
	since time.Time
	// noRequestsUntil is a time until which no request was served at all, zero if unknown.
	noRequestsUntil time.Time
}

// record records that an entry was listed until now.
func (h *versionHistory) record(now time.Time, u Upstream) {
	if h.lastListed == nil {
		h.lastListed = map[string]map[string]time.Time{}
	}
	if h.lastListed[u.Service] == nil {
		h.lastListed[u.Service] = map[string]time.Time{}
	}
	h.lastListed[u.Service][u.Version] = now
}

// covers reports whether all versions are known that served in the window before now.
func (h *versionHistory) covers(now time.Time, window time.Duration) bool {
	return now.Sub(h.since) >= window || !h.noRequestsUntil.IsZero() && h.since.Sub(h.noRequestsUntil) <= maxUnseen
}

// NoRequestsUntil records that no request can have been served until now, by any process.
func (d *Directory) NoRequestsUntil(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.noRequestsUntil = now
}

// Unseen returns how old the oldest change is that this directory may lack.
func (d *Directory) Unseen() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unseenLocked(d.Now())
}

func (d *Directory) unseenLocked(now time.Time) time.Duration {
	if d.ConfirmedAt == nil {
		return 0
	}
	return now.Sub(d.ConfirmedAt())
}

// SoleVersion returns the version of a service's software if no other one was listed within the window before
// now. It returns false if that is not known: entries may have changed unnoticed while the store could not be
// reached, while this process was behind, or before it started.
func (d *Directory) SoleVersion(service string, window time.Duration) (version string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	if !d.read || d.outage || d.unseenLocked(now) > maxUnseen || !d.history.covers(now, window) {
		return "", false
	}
	versions := map[string]bool{}
	for v, last := range d.history.lastListed[service] {
		if now.Sub(last) < window {
			versions[v] = true
			continue
		}
		delete(d.history.lastListed[service], v)
	}
	for _, e := range d.entries {
		if e.Service == service {
			versions[e.Version] = true
		}
	}
	for v := range versions {
		version = v
	}
	return version, len(versions) == 1 && version != ""
}

package rollout

import (
	"slices"

	"github.com/arbutusmill/arbutusmill/coord/store"
)

// maxRejected is the maximum number of rejected versions that are kept, the last ones: their upstreams end some seconds later.
const maxRejected = 8

// Earlier is what the earlier orders of a service say of its upstreams.
type Earlier struct {
	// Completed is the version to which the service moved last, "" if none is known, and CompletedAt the store's revision at which it
	// had: upstreams of other versions that registered before have stopped.
	Completed   string         `json:"completed,omitempty"`
	CompletedAt store.Revision `json:"completed_at,omitempty"`
	// Rejected are the versions that were ordered since and not completed. They may be bad.
	Rejected []string `json:"rejected,omitempty"`
}

// IsZero reports whether nothing is known of earlier orders.
func (e Earlier) IsZero() bool { return e.Completed == "" && len(e.Rejected) == 0 }

// Next returns what holds under an order of a version that follows another one, which ended, or was replaced, in a state.
func (e Earlier) Next(version string, state State, at store.Revision, ordered string) Earlier {
	rejected := append(slices.Clone(e.Rejected), version)
	if state == Completed {
		e.Completed, e.CompletedAt = version, at
	}
	e.Rejected = nil
	return e.reject(rejected, ordered)
}

// Merge returns what this process and another one know under an order of a version. The other one's knowledge of what was completed
// counts, if it has any.
func (e Earlier) Merge(other Earlier, ordered string) Earlier {
	if other.Completed != "" {
		e.Completed, e.CompletedAt = other.Completed, other.CompletedAt
	}
	return e.reject(other.Rejected, ordered)
}

// reject adds versions to those that were rejected, but for the ones that were ordered or completed.
func (e Earlier) reject(versions []string, ordered string) Earlier {
	var all []string
	for _, v := range slices.Concat(e.Rejected, versions) {
		if v != ordered && v != e.Completed && !slices.Contains(all, v) {
			all = append(all, v)
		}
	}
	e.Rejected = all[max(0, len(all)-maxRejected):]
	return e
}

// Rejects reports whether a version gets nothing because of an earlier order.
func (e Earlier) Rejects(version string) bool { return slices.Contains(e.Rejected, version) }

// Stopped reports whether an upstream has stopped when an earlier order was completed.
func (e Earlier) Stopped(version string, registered store.Revision) bool {
	return e.Completed != "" && version != e.Completed && registered <= e.CompletedAt
}

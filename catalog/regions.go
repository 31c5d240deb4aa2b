package catalog

import "slices"

// Regions lists the regions in which requests may be served; nil is any.
type Regions []string

// Intersect returns the regions allowed by both: a request must comply with its route and its team.
func (r Regions) Intersect(other Regions) Regions {
	if r == nil {
		return other
	}
	if other == nil {
		return r
	}
	both := Regions{}
	for _, region := range r {
		if slices.Contains(other, region) {
			both = append(both, region)
		}
	}
	return both
}

// Allow reports whether requests may be served in a region. An unknown region ("") is allowed only
// if any region is.
func (r Regions) Allow(region string) bool {
	return r == nil || region != "" && slices.Contains(r, region)
}

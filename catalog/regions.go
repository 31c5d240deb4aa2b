package catalog

import "slices"

// Regions are those in which requests may be served; nil is any.
type Regions []string

// Intersect are the regions that are allowed by both: a request obeys its route and its team.
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

// Allow reports whether requests may be served in a region. One that is not known ("") is
// allowed only where any is.
func (r Regions) Allow(region string) bool {
	return r == nil || region != "" && slices.Contains(r, region)
}

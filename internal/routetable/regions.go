package routetable

import "slices"

// Regions lists the regions in which upstreams may run a request. If it is nil, all are allowed; an
// empty list that is not nil allows none.
type Regions []string

// Allow reports whether an upstream of the given region may run the request. The region is empty if
// it is unknown, which a list never allows.
func (r Regions) Allow(region string) bool {
	return r == nil || region != "" && slices.Contains(r, region)
}

// Intersect returns the regions that both lists allow.
func (r Regions) Intersect(o Regions) Regions {
	if r == nil {
		return o
	}
	out := Regions{}
	for _, region := range r {
		if o == nil || slices.Contains(o, region) {
			out = append(out, region)
		}
	}
	return out
}

package backpressure

import (
	"encoding/json"
	"net/http"
)

// Path is the URL path at which Handler serves the list.
const Path = "/backpressure"

// List is the JSON form of what upstreams have stated.
type List struct {
	Upstreams []ListEntry `json:"upstreams"`
}

// ListEntry is what one upstream has stated.
type ListEntry struct {
	Upstream string `json:"upstream"`
	// PerSecond is the rate limit in requests per second, 0 for none, and AgeMs how long ago the
	// limit was read from a response, in milliseconds.
	PerSecond float64 `json:"perSecond"`
	AgeMs     int64   `json:"ageMs"`
	// RestMs is for how much longer the upstream wants no requests, in milliseconds.
	RestMs int64 `json:"restMs"`
	// IsLeaving tells that the upstream has said that it is about to shut down.
	IsLeaving bool `json:"isLeaving"`
}

// Handler lists the upstreams that accept fewer requests than others, as returned by list. It does no
// authentication, so it must be served on a listener that callers can't reach.
func Handler(list func() []Notice) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		out := List{Upstreams: []ListEntry{}}
		for _, n := range list() {
			out.Upstreams = append(out.Upstreams, ListEntry{
				Upstream: n.Incarnation.Upstream, PerSecond: n.Rate, AgeMs: n.ReadAgeMS, RestMs: n.RestMS, IsLeaving: n.IsLeaving,
			})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	})
}

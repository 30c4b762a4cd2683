// Package routetable holds the routing configuration of the whole system: which service serves
// which request, under which limits and for which workspace.
//
// A Table is immutable once it is built, and hosts replace it as a whole. Its number is unique
// in the system, and the table with the highest number is in force.
package routetable

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind states which requests of a route may be retried.
type Kind uint8

const (
	// Unsafe requests run at most once. This is the zero value, so that a route without a kind
	// is never retried.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests are answered by a series of events. They must not be retried unless the
	// route is resumable.
	Stream
)

// Route sends the requests for a host name and path prefix to services.
type Route struct {
	Name string
	// HostName is in lower case, without a port. Prefix begins and ends with a slash.
	HostName string
	Prefix   string
	Kind     Kind
	// Timeout is the longest time for which a request may wait for its answer. It must be
	// positive.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or its first event, counts as on time.
	TargetLatency time.Duration
	// MaxEventGap is the longest interval between two events of a stream that counts as on
	// time, 0 if none is declared.
	MaxEventGap time.Duration
	// Priority is the priority level of the requests; 0 is the most urgent.
	Priority int
	// AttemptLimit is the number of upstreams that one request may be sent to, at least 1.
	AttemptLimit int
	// IsPublic allows requests that name no workspace.
	IsPublic bool
	// IsResumable allows a stream to continue at another upstream after its last complete
	// event.
	IsResumable bool
	// ServiceWeights splits the requests over services. The sum of the weights must be
	// positive.
	ServiceWeights []ServiceWeight
	// PermittedRegions are the regions in which upstreams may run the requests.
	PermittedRegions Regions
}

// ServiceWeight is the weight of one service in a route's traffic split.
type ServiceWeight struct {
	Service string
	Weight  float64
}

// AllowsRetry reports whether a request of the route may run more than once.
func (r *Route) AllowsRetry() bool { return r.Kind == Safe || r.Kind == Stream && r.IsResumable }

// PickService returns the service for a request. The random number draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, s := range r.ServiceWeights {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.ServiceWeights {
		remaining -= s.Weight
		if remaining < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	return r.ServiceWeights[len(r.ServiceWeights)-1].Service
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections limits the connections to one upstream from all hosts together; 0 means no
	// limit.
	MaxConnections int
	// ColdDuration is how long an upstream is cold after its start, and ColdRate how many requests
	// per second a cold upstream tolerates from all hosts together. Unless both are positive, no
	// upstream of the service is cold.
	ColdDuration time.Duration
	ColdRate     float64
	// Engine describes model engines; nil for plain services.
	Engine *Engine
}

// Engine holds the performance parameters of a service's model engines.
type Engine struct {
	// Slots is the maximum number of requests that a rank runs at once.
	Slots int
	// StepTime is the duration of a decode step at an idle rank. StepTimePerRequest is added
	// for each request that generates tokens, and StepTimePerKToken for each 1,000 tokens of
	// its context.
	StepTime, StepTimePerRequest, StepTimePerKToken time.Duration
	// PrefillRate is the number of prompt tokens read per second. PrefillChunk is the maximum
	// number of prompt tokens read in one step.
	PrefillRate  float64
	PrefillChunk int
	// StepsPerPass is the number of decode steps in a pass. A stream gets one event per pass.
	StepsPerPass int
	// MeanPromptTokens and MeanAnswerTokens are the mean numbers of prompt and answer tokens of
	// a request.
	MeanPromptTokens, MeanAnswerTokens float64
	// KVCacheTokens is the capacity of a rank's KV cache in tokens.
	KVCacheTokens int
	Experts       Experts
}

// Experts describes how the experts of a model are spread over the ranks of a group.
// LayerSetCount is 0 if the engines don't form groups.
type Experts struct {
	// The model's layers are divided into LayerSetCount sets. Each set has an expert map of its
	// own, which assigns ExpertsPerSet experts to the ranks, with room for Slots experts at each
	// rank. In one change of the map a rank may be assigned at most MaxNewPerSet experts of a
	// set that it did not hold before.
	LayerSetCount, ExpertsPerSet, Slots, MaxNewPerSet int
	// WorkShare is the fraction of a step's work that is done by the experts, in [0, 1].
	WorkShare float64
	// CopyTime is the time that a rank takes to copy an expert that it does not hold; 0 if
	// unknown.
	CopyTime time.Duration
}

// Workspace holds the API keys and the priority of one workspace.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// PermittedRegions are the regions in which upstreams may run the requests.
	PermittedRegions Regions
}

// Limits restricts what a caller may send. Zero means no limit.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the routing configuration.
type Table struct {
	// Number orders the versions of the configuration.
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	routesByHost   map[string][]*Route
	serviceByName  map[string]*Service
	workspaceByKey map[string]*Workspace
}

// Build validates the table and builds its indexes. The error names what is invalid.
func (t *Table) Build() error {
	if t.Number == 0 {
		return errors.New("the configuration has no number")
	}
	if err := t.indexServices(); err != nil {
		return err
	}
	if err := t.indexRoutes(); err != nil {
		return err
	}
	return t.indexKeys()
}

func (t *Table) indexServices() error {
	t.serviceByName = make(map[string]*Service, len(t.Services))
	for i := range t.Services {
		s := &t.Services[i]
		if s.Name == "" || t.serviceByName[s.Name] != nil {
			return errors.Errorf("service %q has no name or is defined twice", s.Name)
		}
		if s.ColdDuration < 0 || s.ColdRate < 0 {
			return errors.Errorf("service %q has a negative cold duration or tolerated rate", s.Name)
		}
		t.serviceByName[s.Name] = s
	}
	return nil
}

func (t *Table) indexRoutes() error {
	t.routesByHost = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		r.HostName = strings.ToLower(r.HostName)
		if err := t.checkRoute(r); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		t.routesByHost[r.HostName] = append(t.routesByHost[r.HostName], r)
	}
	for host, routes := range t.routesByHost {
		slices.SortFunc(routes, longestPrefixFirst)
		for i := 1; i < len(routes); i++ {
			if routes[i].Prefix == routes[i-1].Prefix {
				return errors.Errorf("routes %q and %q share host %q and prefix", routes[i-1].Name, routes[i].Name, host)
			}
		}
	}
	return nil
}

func longestPrefixFirst(a, b *Route) int {
	return cmp.Or(len(b.Prefix)-len(a.Prefix), strings.Compare(a.Prefix, b.Prefix))
}

func (t *Table) checkRoute(r *Route) error {
	if r.HostName == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.New("needs a host name and a prefix that begins and ends with a slash")
	}
	if r.Timeout <= 0 {
		return errors.New("needs a timeout")
	}
	total := 0.0
	for _, s := range r.ServiceWeights {
		if t.serviceByName[s.Service] == nil {
			return errors.Errorf("names the unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return errors.New("has a negative weight")
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("has weights that add up to 0")
	}
	r.AttemptLimit = max(r.AttemptLimit, 1)
	return nil
}

func (t *Table) indexKeys() error {
	t.workspaceByKey = make(map[string]*Workspace)
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		for _, key := range w.Keys {
			if other := t.workspaceByKey[key]; other != nil && other != w {
				return errors.Errorf("workspaces %q and %q share a key", other.Name, w.Name)
			}
			t.workspaceByKey[key] = w
		}
	}
	return nil
}

// Match returns the route with the longest matching prefix for a request's host and path, or
// nil.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.serviceByName[name] }

// WorkspaceByKey returns the workspace that the API key belongs to, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.workspaceByKey[key] }

// NeedsKey reports whether requests of the route must carry the API key of a workspace.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Workspaces) > 0 && !r.IsPublic }

// LongestEventGap returns the longest MaxEventGap of all routes to a service, 0 if none
// declares one.
func (t *Table) LongestEventGap(service string) time.Duration {
	longest := time.Duration(0)
	for i := range t.Routes {
		r := &t.Routes[i]
		if slices.ContainsFunc(r.ServiceWeights, func(s ServiceWeight) bool { return s.Service == service }) {
			longest = max(longest, r.MaxEventGap)
		}
	}
	return longest
}

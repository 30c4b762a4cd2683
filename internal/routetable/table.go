// Package routetable is the routing configuration of the whole system: which request
// goes to which service, under which limits, for which workspace.
//
// A Table is immutable once it is built; hosts replace it whole. It has one number in
// the whole system, and the highest number is in force.
package routetable

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind tells what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once; it is the zero value on purpose.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests are answered by a series of events. They are unsafe unless
	// the route is resumable.
	Stream
)

// Route sends the requests below a prefix of a host name to services.
type Route struct {
	Name string
	// HostName is in lower case, without a port. Prefix begins and ends with a slash.
	HostName string
	Prefix   string
	Kind     Kind
	// Timeout is the longest that a request is kept waiting; positive.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event, is on time.
	TargetLatency time.Duration
	// Gap is the longest pause between events of a stream that is on time; zero if none
	// is declared.
	Gap time.Duration
	// Priority is the rank of the requests, 0 the most urgent.
	Priority int
	// AttemptLimit is to how many upstreams one request may be sent; at least 1.
	AttemptLimit int
	// IsPublic frees the requests from naming a workspace.
	IsPublic bool
	// IsResumable lets a stream go on at another upstream after its last whole event.
	IsResumable bool
	// ServiceWeights split the requests over services; the weights add up to more than 0.
	ServiceWeights []ServiceWeight
}

// ServiceWeight is a service's part of a route.
type ServiceWeight struct {
	Service string
	Weight  float64
}

// AllowsRetry reports whether a request of the route may run more than once.
func (r *Route) AllowsRetry() bool { return r.Kind == Safe || r.Kind == Stream && r.IsResumable }

// PickService returns the service for a request; draw is uniform in [0, 1).
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

// Service is a set of upstreams that serve the same.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one upstream from all hosts together; 0
	// is no bound.
	MaxConnections int
	// Engine describes model engines; nil for plain services.
	Engine *Engine
}

// Engine is what is published of a service's model engines.
type Engine struct {
	// Slots is how many requests a rank works on at once.
	Slots int
	// StepTime is the least time of a token step; PerRequest is added for each request
	// that writes, PerContext for each 1,000 tokens of its context.
	StepTime, StepTimePerRequest, StepTimePerKToken time.Duration
	// PrefillRate is the prompt tokens read a second; Chunk the most of them in one step.
	PrefillRate float64
	Chunk       int
	// Stride is how many token steps a pass has.
	Stride int
	// Prompt and Answer are the mean tokens of a request.
	Prompt, Answer float64
	// KVCacheTokens is a rank's memory in tokens.
	KVCacheTokens int
	Experts       Experts
}

// Experts is the shape of the groups of ranks; Sets is 0 where there are none.
type Experts struct {
	// Sets of layers have an expert map each, of Count experts on ranks with Slots
	// places a set. At most Spare of a set may be new to a rank in one change.
	Sets, ExpertsPerSet, Slots, Spare int
	// WorkShare is the part of a step's work that the experts do, in [0, 1].
	WorkShare float64
	// CopyTime is how long a rank takes to copy an expert that is new to it; 0 if not known.
	CopyTime time.Duration
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before that of the route, where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send. Zero is no bound.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one configuration.
type Table struct {
	// Number is the configuration's place in the order of configurations.
	Number     uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits

	routesByHost   map[string][]*Route
	serviceByName  map[string]*Service
	workspaceByKey map[string]*Workspace
}

// Build checks the table and makes it ready for use. The error names what is invalid.
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
			return errors.Errorf("service %q has no name or stands twice", s.Name)
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
		return errors.New("needs a host and a prefix between slashes")
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

// Match returns the route of the longest prefix for a request's host and path, or nil.
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

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service { return t.serviceByName[name] }

// WorkspaceByKey returns who holds the key, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.workspaceByKey[key] }

// NeedsKey reports whether requests of the route have to name a workspace.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Workspaces) > 0 && !r.IsPublic }

// LongestGap returns the longest pause between events that a route to a service declares,
// 0 if none does.
func (t *Table) LongestGap(service string) time.Duration {
	longest := time.Duration(0)
	for i := range t.Routes {
		r := &t.Routes[i]
		if slices.ContainsFunc(r.ServiceWeights, func(s ServiceWeight) bool { return s.Service == service }) {
			longest = max(longest, r.Gap)
		}
	}
	return longest
}

package routing

import (
	"slices"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// PoolFilter keeps the upstreams in the request's pool.
type PoolFilter struct{}

// Name implements Filter.
func (PoolFilter) Name() string { return "pool" }

// Keep implements Filter.
func (PoolFilter) Keep(r *Request, c *Candidate) bool { return c.Upstream.Pool == r.Pool }

// IsHard implements Filter.
func (PoolFilter) IsHard() bool { return true }

// ReadyFilter keeps the upstreams that accept new requests. Upstreams that are starting or
// leaving are dropped.
type ReadyFilter struct{}

// Name implements Filter.
func (ReadyFilter) Name() string { return "ready" }

// Keep implements Filter.
func (ReadyFilter) Keep(_ *Request, c *Candidate) bool {
	return c.Upstream.State == wire.UpstreamReady
}

// IsHard implements Filter.
func (ReadyFilter) IsHard() bool { return true }

// EvacuationFilter drops the upstreams in evacuated data centres.
type EvacuationFilter struct{}

// Name implements Filter.
func (EvacuationFilter) Name() string { return "evacuation" }

// Keep implements Filter.
func (EvacuationFilter) Keep(_ *Request, c *Candidate) bool { return !c.Evacuated }

// IsHard implements Filter.
func (EvacuationFilter) IsHard() bool { return true }

// UntriedFilter drops the upstreams that earlier attempts of the request used.
type UntriedFilter struct{}

// Name implements Filter.
func (UntriedFilter) Name() string { return "untried" }

// Keep implements Filter.
func (UntriedFilter) Keep(r *Request, c *Candidate) bool {
	return !slices.Contains(r.Tried, c.Upstream.Name)
}

// IsHard implements Filter.
func (UntriedFilter) IsHard() bool { return true }

// VersionFilter prefers the upstreams that have the requested model version loaded. While
// no upstream has it, the others continue to serve.
type VersionFilter struct{}

// Name implements Filter.
func (VersionFilter) Name() string { return "version" }

// Keep implements Filter.
func (VersionFilter) Keep(r *Request, c *Candidate) bool {
	return r.Version == "" || c.Upstream.Version == r.Version
}

// IsHard implements Filter.
func (VersionFilter) IsHard() bool { return false }

// HealthyFilter prefers the upstreams that still announce themselves and at which no recent
// attempt of this host failed.
type HealthyFilter struct{}

// Name implements Filter.
func (HealthyFilter) Name() string { return "healthy" }

// Keep implements Filter.
func (HealthyFilter) Keep(_ *Request, c *Candidate) bool { return !c.Suspect && !c.Failing }

// IsHard implements Filter.
func (HealthyFilter) IsHard() bool { return false }

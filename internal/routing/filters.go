package routing

import (
	"slices"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// PoolFilter keeps the upstreams of the request's pool.
type PoolFilter struct{}

// Name implements Filter.
func (PoolFilter) Name() string { return "pool" }

// Keep implements Filter.
func (PoolFilter) Keep(r *Request, c *Candidate) bool { return c.Upstream.Pool == r.Pool }

// IsHard implements Filter.
func (PoolFilter) IsHard() bool { return true }

// ReadyFilter keeps the upstreams that take new work. One that leaves gets none.
type ReadyFilter struct{}

// Name implements Filter.
func (ReadyFilter) Name() string { return "ready" }

// Keep implements Filter.
func (ReadyFilter) Keep(_ *Request, c *Candidate) bool {
	return c.Upstream.State == wire.UpstreamReady
}

// IsHard implements Filter.
func (ReadyFilter) IsHard() bool { return true }

// UntriedFilter drops the upstreams of earlier attempts.
type UntriedFilter struct{}

// Name implements Filter.
func (UntriedFilter) Name() string { return "untried" }

// Keep implements Filter.
func (UntriedFilter) Keep(r *Request, c *Candidate) bool {
	return !slices.Contains(r.Tried, c.Upstream.Name)
}

// IsHard implements Filter.
func (UntriedFilter) IsHard() bool { return true }

// VersionFilter prefers the upstreams that have the wanted version loaded. While
// no one has it, the others go on serving.
type VersionFilter struct{}

// Name implements Filter.
func (VersionFilter) Name() string { return "version" }

// Keep implements Filter.
func (VersionFilter) Keep(r *Request, c *Candidate) bool {
	return r.Version == "" || c.Upstream.Version == r.Version
}

// IsHard implements Filter.
func (VersionFilter) IsHard() bool { return false }

// HealthyFilter prefers the upstreams that are neither silent nor failing.
type HealthyFilter struct{}

// Name implements Filter.
func (HealthyFilter) Name() string { return "healthy" }

// Keep implements Filter.
func (HealthyFilter) Keep(_ *Request, c *Candidate) bool { return !c.Suspect && !c.Failing }

// IsHard implements Filter.
func (HealthyFilter) IsHard() bool { return false }

package document

import (
	"path"
	"slices"
	"strings"

	"github.com/sassafraspost/sassafraspost/internal/inifile"
)

// Model returns the model of this name, or nil.
func (d *Document) Model(name string) *Model { return d.models[name] }

// Group returns the group of this name, or nil.
func (d *Document) Group(name string) *Group { return d.groups[name] }

// PlainService returns the plain service of this name, or nil.
func (d *Document) PlainService(name string) *PlainService { return d.services[name] }

// Priority returns the priority class of this name, or nil.
func (d *Document) Priority(name string) *Priority { return d.priorities[name] }

// Workspace returns the workspace of this name, or nil.
func (d *Document) Workspace(name string) *Workspace { return d.workspaces[name] }

// WorkspaceByToken returns the workspace of a caller's bearer token, given the token's SHA-256,
// or nil. The timing of a lookup by digest reveals nothing about the tokens.
func (d *Document) WorkspaceByToken(hash inifile.SHA256) *Workspace { return d.tokens[hash] }

// PlainServiceFor returns the plain service with the longest prefix that matches a request's
// path, or nil. The path may contain dot segments and repeated slashes.
func (d *Document) PlainServiceFor(requestPath string) *PlainService {
	requestPath = CleanPath(requestPath)
	var best *PlainService
	for _, s := range d.Services {
		if hasPathPrefix(requestPath, s.PathPrefix) && (best == nil || len(s.PathPrefix) > len(best.PathPrefix)) {
			best = s
		}
	}
	return best
}

// CallFor returns the call that matches a request, or nil if none does. The path is the decoded
// path of the URL.
//
// It considers only calls of the service that PlainServiceFor returns. If several calls match,
// the one with the most literal segments is returned. Among calls with equally many, a
// non-idempotent one is preferred.
func (d *Document) CallFor(method, requestPath string) *Call {
	requestPath = CleanPath(requestPath)
	service := d.PlainServiceFor(requestPath)
	if service == nil {
		return nil
	}
	segments := splitPath(requestPath)
	var best *Call
	for _, c := range d.Calls {
		if c.Service == service.Name && c.matches(method, segments) && c.isMoreSpecificThan(best) {
			best = c
		}
	}
	return best
}

// IsIdempotentMethod reports whether RFC 9110 defines the method as idempotent.
func IsIdempotentMethod(method string) bool { return slices.Contains(idempotentMethods, method) }

const (
	anySegment  = "*"
	anySegments = "**"
)

func (c *Call) matches(method string, segments []string) bool {
	if c.Method != AnyMethod && c.Method != method {
		return false
	}
	for i, segment := range c.segments {
		if segment == anySegments {
			return true
		}
		if i >= len(segments) || (segment != anySegment && segment != segments[i]) {
			return false
		}
	}
	return len(segments) == len(c.segments)
}

func (c *Call) isMoreSpecificThan(other *Call) bool {
	if other == nil {
		return true
	}
	a, b := c.countLiterals(), other.countLiterals()
	if a != b {
		return a > b
	}
	return other.Idempotent && !c.Idempotent
}

func (c *Call) countLiterals() int {
	n := 0
	for _, s := range c.segments {
		if s != anySegment && s != anySegments {
			n++
		}
	}
	return n
}

// CleanPath returns the canonical form of a path, without dot segments and repeated slashes, so
// that no spelling of a non-idempotent call escapes its pattern. The upstream must be sent this
// form of the path. Otherwise it may run a different call than the one that was looked up.
func CleanPath(p string) string { return path.Clean("/" + p) }

func hasPathPrefix(p, prefix string) bool {
	rest, ok := strings.CutPrefix(p, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func splitPath(p string) []string { return strings.Split(strings.TrimPrefix(p, "/"), "/") }

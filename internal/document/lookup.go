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

// Priority returns the class of this name, or nil.
func (d *Document) Priority(name string) *Priority { return d.priorities[name] }

// Workspace returns the workspace of this name, or nil.
func (d *Document) Workspace(name string) *Workspace { return d.workspaces[name] }

// WorkspaceByToken returns the workspace that the SHA-256 of a caller's bearer
// token is bound to, or nil. Looking up a digest tells no token by its timing.
func (d *Document) WorkspaceByToken(hash inifile.SHA256) *Workspace { return d.tokens[hash] }

// PlainServiceFor returns the plain service with the longest prefix of a
// request's path, or nil. The path may hold dots and repeated slashes.
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

// CallFor returns the call that describes a request, or nil where the document
// describes none. The path is the decoded path of the URL.
//
// Only calls of the service that PlainServiceFor gives are looked at. Of several
// that match, the one with the most literal segments wins; of equal ones, one
// that may not be repeated.
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
	for i, want := range c.segments {
		if want == anySegments {
			return true
		}
		if i >= len(segments) || (want != anySegment && want != segments[i]) {
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

// CleanPath gives every spelling of a path the same form, so that no spelling of a
// non-idempotent call escapes its pattern. An upstream has to be sent this form of
// the path, or it may run another call than the one that was looked up.
func CleanPath(p string) string { return path.Clean("/" + p) }

func hasPathPrefix(p, prefix string) bool {
	rest, ok := strings.CutPrefix(p, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func splitPath(p string) []string { return strings.Split(strings.TrimPrefix(p, "/"), "/") }

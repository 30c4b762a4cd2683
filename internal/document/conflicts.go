package document

import (
	"slices"
	"strings"
)

// Conflict is a name or path that two documents use, but only one may own.
type Conflict struct {
	// Kind is the kind of the name, such as "workspace".
	Kind string
	// Value is the name or path as the later document spells it.
	Value string
	// Owner is the name of the document that comes first in the list.
	Owner string
	// Claimant is the name of the document that comes later.
	Claimant string
}

// String returns the conflict on one line.
func (c Conflict) String() string {
	return c.Claimant + ": " + c.Kind + " " + c.Value + " belongs to document " + c.Owner
}

// ConflictError holds every conflict between documents.
type ConflictError struct{ Conflicts []Conflict }

// Error returns one line for each conflict.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		lines[i] = c.String()
	}
	return strings.Join(lines, "\n")
}

// uniqueName is a name that only one document may use.
type uniqueName struct{ kind, value string }

// CheckConflicts reports names that more than one of the documents uses: names of services,
// workspaces, models, groups, pools and plain services, tokens and path prefixes. A path prefix
// must not lie under one of another document either. The earlier document in the list owns the
// name. The error is a *ConflictError.
func CheckConflicts(docs []*Document) error {
	var conflicts []Conflict
	owners := map[uniqueName]string{}
	for i, d := range docs {
		for _, c := range d.uniqueNames() {
			if owner, ok := owners[c]; ok {
				conflicts = append(conflicts, Conflict{Kind: c.kind, Value: c.value, Owner: owner, Claimant: d.Service.Name})
			}
		}
		for _, c := range d.uniqueNames() {
			if _, ok := owners[c]; !ok {
				owners[c] = d.Service.Name
			}
		}
		conflicts = append(conflicts, prefixConflicts(docs[:i], d)...)
	}
	if len(conflicts) == 0 {
		return nil
	}
	return &ConflictError{Conflicts: conflicts}
}

// uniqueNames returns the unique names of the document, grouped by kind. A pool that several
// models or plain services share is listed once.
func (d *Document) uniqueNames() []uniqueName {
	list := []uniqueName{{"service", d.Service.Name}}
	add := func(what, value string) {
		c := uniqueName{what, value}
		if what != "pool" || !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	for _, m := range d.Models {
		add("model", m.Name)
		add("pool", m.Pool)
	}
	for _, g := range d.Groups {
		add("group", g.Name)
	}
	for _, s := range d.Services {
		add("plain-service", s.Name)
		add("pool", s.Pool)
	}
	for _, w := range d.Workspaces {
		add("workspace", w.Name)
		for _, t := range w.Tokens {
			add("token", t.String())
		}
	}
	return list
}

func prefixConflicts(earlier []*Document, d *Document) []Conflict {
	var conflicts []Conflict
	for _, s := range d.Services {
		for _, other := range earlier {
			if other.hasOverlappingPrefix(s.PathPrefix) {
				conflicts = append(conflicts, Conflict{
					Kind: "path-prefix", Value: s.PathPrefix,
					Owner: other.Service.Name, Claimant: d.Service.Name,
				})
			}
		}
	}
	return conflicts
}

func (d *Document) hasOverlappingPrefix(prefix string) bool {
	for _, s := range d.Services {
		if hasPathPrefix(prefix, s.PathPrefix) || hasPathPrefix(s.PathPrefix, prefix) {
			return true
		}
	}
	return false
}

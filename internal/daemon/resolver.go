package daemon

import (
	"github.com/sassafraspost/sassafraspost/internal/catalog"
	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// defaultUrgency is the urgency of workspaces without a priority class. It is the default of
// RFC 9218.
const defaultUrgency = 3

// resolver implements entry.Catalog with the service documents in force: it maps a request to its
// workspace, pool, deadline and urgency.
type resolver struct{ store *catalog.Store }

// Resolve implements entry.Catalog.
func (r resolver) Resolve(l entry.Lookup) (entry.Plan, error) {
	b, ok := r.store.Index().ByToken(l.TokenHash)
	if !ok {
		return entry.Plan{}, refuse(verdict.CodeUnauthorized, "unknown bearer token")
	}
	p := entry.Plan{
		Workspace: b.Workspace.Name,
		Service:   b.Document.Service.Name,
		Deadline:  b.Document.Objective.Deadline,
		Urgency:   defaultUrgency,
	}
	if class := b.Document.Priority(b.Workspace.Priority); class != nil {
		p.Urgency = uint8(class.Rank)
		if class.Deadline > 0 {
			p.Deadline = class.Deadline
		}
	}
	if l.Model != "" {
		return planModel(p, b, l)
	}
	return planService(p, b, l)
}

func planModel(p entry.Plan, b catalog.Binding, l entry.Lookup) (entry.Plan, error) {
	m := b.Document.Model(l.Model)
	if m == nil {
		return p, refuse(verdict.CodeNotFound, "no such model in the document of this workspace")
	}
	if !b.Workspace.Models.Allows(m.Name) {
		return p, refuse(verdict.CodeForbidden, "workspace may not use this model")
	}
	p.Kind = entry.KindModel
	p.Pool = m.Pool
	p.Model = m.Name
	p.Version = m.Version
	p.Idempotent = true
	p.Resumable = m.Resumable
	return p, nil
}

func planService(p entry.Plan, b catalog.Binding, l entry.Lookup) (entry.Plan, error) {
	s := b.Document.PlainServiceFor(l.Path)
	if s == nil {
		return p, refuse(verdict.CodeNotFound, "no service at this path")
	}
	if !b.Workspace.Services.Allows(s.Name) {
		return p, refuse(verdict.CodeForbidden, "workspace may not call this service")
	}
	p.Kind = entry.KindPlain
	p.Pool = s.Pool
	p.Idempotent = document.IsIdempotentMethod(l.Method)
	if c := b.Document.CallFor(l.Method, l.Path); c != nil {
		p.Idempotent = c.Idempotent
	}
	return p, nil
}

func refuse(code verdict.Code, text string) error {
	return verdict.New(verdict.NotRun, code, text)
}

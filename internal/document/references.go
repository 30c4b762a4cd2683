package document

import (
	"github.com/sassafraspost/sassafraspost/internal/inifile"
)

// checkReferences reports names that the document uses but doesn't define, and calls that
// conflict with other calls or services.
func (p *parser) checkReferences() {
	for i, g := range p.doc.Groups {
		if g.Model != "" && p.doc.Model(g.Model) == nil {
			p.groups[i].Errorf("model", "unknown model %q", g.Model)
		}
	}
	for i, c := range p.doc.Calls {
		p.checkCall(p.calls[i], c)
	}
	p.checkRepeatedCalls()
	for i, w := range p.doc.Workspaces {
		p.checkWorkspace(p.workspaces[i], w)
	}
}

func (p *parser) checkCall(s *inifile.Section, c *Call) {
	if c.Service == "" {
		return
	}
	service := p.doc.PlainService(c.Service)
	if service == nil {
		s.Errorf("service", "unknown plain service %q", c.Service)
		return
	}
	if c.Path == "" || service.PathPrefix == "" {
		return
	}
	if !hasPathPrefix(c.Path, service.PathPrefix) {
		s.Errorf("path", "%q does not lie under the prefix %q of its service", c.Path, service.PathPrefix)
		return
	}
	if owner := p.doc.PlainServiceFor(c.Path); owner != service {
		s.Errorf("path", "%q lies under the longer prefix of plain service %q", c.Path, owner.Name)
	}
}

// checkRepeatedCalls reports two calls with the same method and path, because one of them could
// never match.
func (p *parser) checkRepeatedCalls() {
	type endpoint struct{ method, path string }
	owners := map[endpoint]string{}
	for i, c := range p.doc.Calls {
		key := endpoint{c.Method, c.Path}
		if owner, ok := owners[key]; ok && c.Path != "" {
			p.calls[i].Errorf("path", "call %q has the same method and path", owner)
			continue
		}
		owners[key] = c.Name
	}
}

func (p *parser) checkWorkspace(s *inifile.Section, w *Workspace) {
	if w.Priority != "" && p.doc.Priority(w.Priority) == nil {
		s.Errorf("priority", "unknown priority %q", w.Priority)
	}
	for _, name := range w.Models.Names {
		if p.doc.Model(name) == nil {
			s.Errorf("models", "unknown model %q", name)
		}
	}
	for _, name := range w.Services.Names {
		if p.doc.PlainService(name) == nil {
			s.Errorf("services", "unknown plain service %q", name)
		}
	}
}

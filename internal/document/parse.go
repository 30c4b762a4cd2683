package document

import (
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/inifile"
)

// Limits of numbers. They keep the planner's tables within memory.
const (
	MaxRanks        = 1024
	MaxExperts      = 4096
	MaxLayers       = 1024
	MaxSlotsPerRank = 4096
	// LowestPriority is the highest number in Priority.Rank, whose class is served last.
	LowestPriority = 7
	maxConcurrent  = 1 << 24
	minShare       = 0.001
)

// reservedPrefixes are the path prefixes of the system's own interfaces for callers. "/" is
// reserved only as the whole prefix, not with what lies below it.
var reservedPrefixes = []string{"/", "/v1"}

// parser fills in the document section by section. It keeps the sections of calls, groups and
// workspaces, in the same order as in the document, so that checkReferences can report their
// problems once all sections are known.
type parser struct {
	file       *inifile.File
	doc        *Document
	calls      []*inifile.Section
	groups     []*inifile.Section
	workspaces []*inifile.Section
}

// Parse parses and checks the text of a document. The error is an *inifile.Error with every
// problem by section and key.
func Parse(text []byte) (*Document, error) {
	f, err := inifile.Parse("document", text, MaxSize)
	if err != nil {
		return nil, err
	}
	p := &parser{file: f, doc: newDocument(text)}
	p.parseService()
	p.parseObjective()
	p.parseModels()
	p.parseGroups()
	p.parseServices()
	p.parseCalls()
	p.parsePriorities()
	p.parseWorkspaces()
	p.checkReferences()
	if err := f.Err(); err != nil {
		return nil, err
	}
	return p.doc, nil
}

func newDocument(text []byte) *Document {
	return &Document{
		Digest:     DigestOf(text),
		models:     map[string]*Model{},
		groups:     map[string]*Group{},
		services:   map[string]*PlainService{},
		priorities: map[string]*Priority{},
		workspaces: map[string]*Workspace{},
		tokens:     map[inifile.SHA256]*Workspace{},
	}
}

func (p *parser) parseService() {
	s := p.file.Section("service")
	p.doc.Service = Service{
		Name: inifile.Required(s, "name", inifile.Name),
		Kind: inifile.Optional(s, "kind", KindMixed, inifile.OneOf(KindModel, KindService, KindMixed)),
	}
}

func (p *parser) parseObjective() {
	s := p.file.Section("objective")
	p.doc.Objective = Objective{
		SkewWeight:      inifile.Optional(s, "skew-weight", 1, inifile.Number(0)),
		RebalanceWeight: inifile.Optional(s, "rebalance-weight", 1, inifile.Number(0)),
		Deadline:        inifile.Optional(s, "deadline", 30*time.Second, inifile.Duration),
	}
}

func (p *parser) parseModels() {
	for _, s := range p.file.NamedSections("model") {
		m := &Model{
			Name:          s.Name(),
			Pool:          inifile.Optional(s, "pool", s.Name(), inifile.Name),
			Version:       inifile.Required(s, "version", inifile.Name),
			Adapters:      inifile.Optional(s, "adapters", nil, inifile.List(inifile.Name)),
			Role:          inifile.Optional(s, "role", RoleUnified, inifile.OneOf(RoleUnified, RolePrefill, RoleDecode)),
			ChecksFencing: inifile.Optional(s, "checks-fencing", false, inifile.Bool),
			Resumable:     inifile.Optional(s, "resumable", false, inifile.Bool),
		}
		if p.doc.Service.Kind == KindService {
			s.Errorf("", "a service of kind %s has no models", KindService)
		}
		p.doc.Models = append(p.doc.Models, m)
		p.doc.models[m.Name] = m
	}
}

func (p *parser) parseGroups() {
	for _, s := range p.file.NamedSections("group") {
		g := &Group{
			Name:         s.Name(),
			Model:        inifile.Required(s, "model", inifile.Name),
			Ranks:        inifile.Required(s, "ranks", inifile.Int(1, MaxRanks)),
			Experts:      inifile.Required(s, "experts", inifile.Int(1, MaxExperts)),
			Layers:       inifile.Required(s, "layers", inifile.Int(1, MaxLayers)),
			SlotsPerRank: inifile.Required(s, "slots-per-rank", inifile.Int(1, MaxSlotsPerRank)),
		}
		if g.Ranks > 0 && g.SlotsPerRank > 0 && g.Ranks*g.SlotsPerRank < g.Experts {
			s.Errorf("slots-per-rank", "%d ranks with %d slots cannot hold %d experts", g.Ranks, g.SlotsPerRank, g.Experts)
		}
		p.groups = append(p.groups, s)
		p.doc.Groups = append(p.doc.Groups, g)
		p.doc.groups[g.Name] = g
	}
}

func (p *parser) parseServices() {
	owners := map[string]string{}
	for _, s := range p.file.NamedSections("plain-service") {
		v := &PlainService{
			Name:       s.Name(),
			Pool:       inifile.Optional(s, "pool", s.Name(), inifile.Name),
			PathPrefix: inifile.Required(s, "path-prefix", parsePathPrefix),
		}
		if owner, ok := owners[v.PathPrefix]; ok && v.PathPrefix != "" {
			s.Errorf("path-prefix", "is the prefix of plain service %q too", owner)
		}
		if p.doc.Service.Kind == KindModel {
			s.Errorf("", "a service of kind %s has no plain services", KindModel)
		}
		owners[v.PathPrefix] = v.Name
		p.doc.Services = append(p.doc.Services, v)
		p.doc.services[v.Name] = v
	}
}

func parsePathPrefix(text string) (string, error) {
	if err := checkPath(text); err != nil {
		return "", err
	}
	if strings.Contains(text, "*") {
		return "", errors.Errorf("%q is a prefix and takes no *", text)
	}
	for _, reserved := range reservedPrefixes {
		if text == reserved || (reserved != "/" && hasPathPrefix(text, reserved)) {
			return "", errors.Errorf("%q belongs to the system", text)
		}
	}
	return text, nil
}

func checkPath(text string) error {
	if !strings.HasPrefix(text, "/") || path.Clean(text) != text {
		return errors.Errorf("%q is not a clean path from the root", text)
	}
	if strings.ContainsAny(text, "%?# \t") {
		return errors.Errorf("%q holds characters that a decoded path cannot have here", text)
	}
	return nil
}

func (p *parser) parseCalls() {
	for _, s := range p.file.NamedSections("call") {
		c := &Call{
			Name:    s.Name(),
			Service: inifile.Required(s, "service", inifile.Name),
			Method:  inifile.Required(s, "method", inifile.OneOf(methods...)),
			Path:    inifile.Required(s, "path", parsePathPattern),
		}
		c.Idempotent = inifile.Optional(s, "idempotent", slices.Contains(idempotentMethods, c.Method), inifile.Bool)
		c.segments = splitPath(c.Path)
		p.calls = append(p.calls, s)
		p.doc.Calls = append(p.doc.Calls, c)
	}
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions, AnyMethod,
}

// idempotentMethods are the methods that RFC 9110 defines as idempotent.
var idempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions,
}

func parsePathPattern(text string) (string, error) {
	if err := checkPath(text); err != nil {
		return "", err
	}
	segments := splitPath(text)
	for i, s := range segments {
		switch {
		case s == anySegments && i < len(segments)-1:
			return "", errors.Errorf("%q has ** before its last segment", text)
		case s != anySegment && s != anySegments && strings.Contains(s, "*"):
			return "", errors.Errorf("%q has a segment that is * in part only", text)
		}
	}
	return text, nil
}

func (p *parser) parsePriorities() {
	for _, s := range p.file.NamedSections("priority") {
		priority := &Priority{
			Name:     s.Name(),
			Rank:     inifile.Required(s, "rank", inifile.Int(0, LowestPriority)),
			Deadline: inifile.Optional(s, "deadline", p.doc.Objective.Deadline, inifile.Duration),
		}
		p.doc.Priorities = append(p.doc.Priorities, priority)
		p.doc.priorities[priority.Name] = priority
	}
}

func (p *parser) parseWorkspaces() {
	for _, s := range p.file.NamedSections("workspace") {
		w := &Workspace{
			Name:                 s.Name(),
			Share:                inifile.Optional(s, "share", 1, inifile.Number(minShare)),
			MaxRequestsPerSecond: inifile.Optional(s, "max-requests-per-second", 0, inifile.Number(0)),
			MaxConcurrent:        inifile.Optional(s, "max-concurrent", 0, inifile.Int(0, maxConcurrent)),
			MaxTokensPerSecond:   inifile.Optional(s, "max-tokens-per-second", 0, inifile.Number(0)),
			Priority:             inifile.Optional(s, "priority", "", inifile.Name),
			Tokens:               inifile.Optional(s, "token-sha256", nil, inifile.List(inifile.ParseSHA256)),
			Models:               inifile.Optional(s, "models", AllowList{All: true}, parseAllowList),
			Services:             inifile.Optional(s, "services", AllowList{All: true}, parseAllowList),
		}
		p.workspaces = append(p.workspaces, s)
		p.doc.Workspaces = append(p.doc.Workspaces, w)
		p.doc.workspaces[w.Name] = w
		p.bindTokens(s, w)
	}
}

func (p *parser) bindTokens(s *inifile.Section, w *Workspace) {
	for _, token := range w.Tokens {
		if owner, ok := p.doc.tokens[token]; ok {
			s.Errorf("token-sha256", "%s is a token of workspace %q too", token, owner.Name)
			continue
		}
		p.doc.tokens[token] = w
	}
}

func parseAllowList(text string) (AllowList, error) {
	if text == "*" {
		return AllowList{All: true}, nil
	}
	names, err := inifile.List(inifile.Name)(text)
	return AllowList{Names: names}, err
}

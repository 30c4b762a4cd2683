package standin

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/group"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// GroupConfig sets up a stand-in group.
type GroupConfig struct {
	Ranks, Experts, Layers int
	// Step is the time of one step.
	Step time.Duration
	// LoadTime is how long the weights of a map take to load.
	LoadTime time.Duration
	// DriftSteps is how many steps the popularity of the experts holds still.
	DriftSteps uint64
}

// GroupReport is the answer to GET /group.
type GroupReport struct {
	Steps uint64 `json:"steps"`
	// MixedSteps counts the steps in which two ranks used different maps.
	MixedSteps uint64 `json:"mixed"`
	// PausedTicks counts the times that a step could not begin.
	PausedTicks uint64 `json:"held"`
	// Maps counts the maps that were used in turn.
	Maps int `json:"maps"`
	// Armed tells by rank whether the rank is armed and not committed.
	Armed []bool `json:"armed"`
	// Skew is the mean of the highest over the mean number of tokens of a rank.
	Skew float64 `json:"skew"`
}

// Group is a stand-in for the engines of all ranks of a group, which run in
// lock-step: a step begins on no rank before all can begin it.
type Group struct {
	cfg GroupConfig
	mux *http.ServeMux

	// mu guards the rest.
	mu           sync.Mutex
	ranks        []*rankEngine
	report       GroupReport
	lastMap      expertmap.Version
	popularity   [][]float64
	rng          *rand.Rand
	imbalanceSum float64
}

// rankEngine is the engine of one rank as expertmap.Engine describes it.
type rankEngine struct {
	status expertmap.Status
	tokens [][]uint32
}

// NewGroup returns a group that runs until its process ends.
func NewGroup(cfg GroupConfig) *Group {
	g := &Group{cfg: cfg, mux: http.NewServeMux(), rng: rand.New(rand.NewPCG(1, 1))}
	for range cfg.Ranks {
		g.ranks = append(g.ranks, &rankEngine{})
	}
	g.drawPopularity()
	g.mux.HandleFunc("GET /ranks/{rank}/status", g.serveRank(g.serveStatus))
	g.mux.HandleFunc("GET /ranks/{rank}/expert-load", g.serveRank(g.serveLoad))
	g.mux.HandleFunc("POST /ranks/{rank}/stage", g.serveRank(g.serveStage))
	g.mux.HandleFunc("POST /ranks/{rank}/arm", g.serveRank(g.serveArm))
	g.mux.HandleFunc("POST /ranks/{rank}/commit", g.serveRank(g.serveCommit))
	g.mux.HandleFunc("POST /ranks/{rank}/abort", g.serveRank(g.serveAbort))
	g.mux.HandleFunc("POST /ranks/{rank}/restart", g.serveRank(g.serveRestart))
	g.mux.HandleFunc("GET /group", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.Report()) })
	go g.run()
	return g
}

// ServeHTTP implements http.Handler.
func (g *Group) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

// Report returns what the group has done.
func (g *Group) Report() GroupReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.report
	for _, e := range g.ranks {
		r.Armed = append(r.Armed, e.status.HasUncommittedChange())
	}
	if r.Steps > 0 {
		r.Skew = g.imbalanceSum / float64(r.Steps)
	}
	return r
}

func (g *Group) run() {
	for range time.Tick(g.cfg.Step) {
		g.runStep()
	}
}

// runStep runs one step on all ranks, if none of them holds.
func (g *Group) runStep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.report.Steps + 1
	for _, e := range g.ranks {
		if !e.canStart(next) {
			g.report.PausedTicks++
			return
		}
	}
	for _, e := range g.ranks {
		e.startStep(next)
	}
	g.report.Steps = next
	g.checkActiveMaps()
	if g.cfg.DriftSteps > 0 && next%g.cfg.DriftSteps == 0 {
		g.drawPopularity()
	}
}

func (e *rankEngine) canStart(step uint64) bool {
	s := e.status
	return s.HasMap() && !(s.HasUncommittedChange() && step >= s.Armed.Step)
}

func (e *rankEngine) startStep(step uint64) {
	e.status.Step = step
	a := e.status.Armed
	if a == nil || !a.Committed || step < a.Step {
		return
	}
	e.status.Active = expertmap.Installed{Version: a.Version, FromStep: a.Step}
	e.status.Armed = nil
	e.removeMaps(func(v expertmap.Version) bool { return v != a.Version })
	e.tokens = nil
}

func (e *rankEngine) removeMaps(isDropped func(expertmap.Version) bool) {
	e.status.Maps = slices.DeleteFunc(slices.Clone(e.status.Maps), func(m expertmap.Map) bool { return isDropped(m.Version) })
}

func (e *rankEngine) loadedMap(v expertmap.Version) *expertmap.Map {
	for i := range e.status.Maps {
		if e.status.Maps[i].Version == v {
			return &e.status.Maps[i]
		}
	}
	return nil
}

// checkActiveMaps notes mixed maps and counts the tokens of the step.
func (g *Group) checkActiveMaps() {
	version := g.ranks[0].status.Active.Version
	for _, e := range g.ranks {
		if e.status.Active.Version != version {
			g.report.MixedSteps++
			return
		}
	}
	if version != g.lastMap {
		g.lastMap = version
		g.report.Maps++
	}
	g.countTokens()
}

// countTokens spreads the tokens of a step over the replicas of each expert.
func (g *Group) countTokens() {
	m := g.ranks[0].loadedMap(g.lastMap)
	if m == nil {
		return
	}
	byRank := make([]float64, len(g.ranks))
	for l, layer := range m.Layers {
		replicas := make([]int, g.cfg.Experts)
		for _, x := range layer {
			replicas[x]++
		}
		for s, x := range layer {
			n := g.popularity[l][x] / float64(replicas[x])
			rank := s / m.SlotsPerRank
			byRank[rank] += n
			g.ranks[rank].addTokens(l, s%m.SlotsPerRank, uint32(n), len(m.Layers), m.SlotsPerRank)
		}
	}
	sum, top := 0.0, 0.0
	for _, n := range byRank {
		sum += n
		top = math.Max(top, n)
	}
	g.imbalanceSum += top / (sum / float64(len(byRank)))
}

func (e *rankEngine) addTokens(layer, slot int, n uint32, layers, slots int) {
	if e.tokens == nil {
		e.tokens = make([][]uint32, layers)
		for l := range e.tokens {
			e.tokens[l] = make([]uint32, slots)
		}
	}
	e.tokens[layer][slot] += n
}

// drawPopularity draws a new popularity: few experts get most of the tokens.
func (g *Group) drawPopularity() {
	g.popularity = make([][]float64, g.cfg.Layers)
	for l := range g.popularity {
		g.popularity[l] = make([]float64, g.cfg.Experts)
		for i, x := range g.rng.Perm(g.cfg.Experts) {
			g.popularity[l][x] = 2000 / float64(i+1)
		}
	}
}

type rankHandler func(e *rankEngine, w http.ResponseWriter, r *http.Request)

// serveRank finds the rank of a request and holds mu for the handler.
func (g *Group) serveRank(h rankHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.PathValue("rank"))
		if err != nil || n < 0 || n >= len(g.ranks) {
			http.NotFound(w, r)
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		h(g.ranks[n], w, r)
	}
}

func (g *Group) serveStatus(e *rankEngine, w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.status)
}

func (g *Group) serveLoad(e *rankEngine, w http.ResponseWriter, _ *http.Request) {
	l := wire.RankLoad{Tokens: e.tokens}
	for _, layer := range e.tokens {
		for _, n := range layer {
			l.StepUS += uint64(n)
		}
	}
	e.tokens = nil
	writeJSON(w, l)
}

// serveStage loads weights beside the request; the map is listed once they are there.
func (g *Group) serveStage(e *rankEngine, w http.ResponseWriter, r *http.Request) {
	var m expertmap.Map
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.loadedMap(m.Version) != nil {
		return
	}
	time.AfterFunc(g.cfg.LoadTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if e.loadedMap(m.Version) == nil {
			e.status.Maps = append(e.status.Maps, m)
		}
	})
}

func (g *Group) serveArm(e *rankEngine, w http.ResponseWriter, r *http.Request) {
	var c expertmap.Change
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a := e.status.Armed
	switch {
	case a != nil && (a.Committed || c.Ballot.Less(a.Ballot)):
		w.WriteHeader(http.StatusConflict)
	case a != nil && a.Version == c.Version && a.Step == c.Step:
		a.Ballot = c.Ballot
	case e.loadedMap(c.Version) == nil, !c.Base.IsZero() && e.loadedMap(c.Base) == nil:
		w.WriteHeader(http.StatusConflict)
	case e.status.HasMap() && (c.Step <= e.status.Step || !e.status.Active.Version.Less(c.Version)):
		w.WriteHeader(http.StatusConflict)
	default:
		e.status.Armed = &c
	}
}

func (g *Group) serveCommit(e *rankEngine, w http.ResponseWriter, r *http.Request) {
	var o group.CommitOrder
	a := e.status.Armed
	if json.NewDecoder(r.Body).Decode(&o) != nil || a == nil || a.Ballot != o.Ballot {
		w.WriteHeader(http.StatusConflict)
		return
	}
	switch {
	case e.status.HasMap():
		a.Committed = true
	case !a.Base.IsZero():
		e.status.Active = expertmap.Installed{Version: a.Base}
		a.Committed = true
	default:
		e.status.Active = expertmap.Installed{Version: a.Version, FromStep: a.Step}
		e.status.Armed = nil
	}
}

func (g *Group) serveAbort(e *rankEngine, w http.ResponseWriter, r *http.Request) {
	var o group.CommitOrder
	a := e.status.Armed
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if a != nil && !a.Committed && !o.Ballot.Less(a.Ballot) {
		e.removeMaps(func(v expertmap.Version) bool { return v == a.Version })
		e.status.Armed = nil
	}
}

// serveRestart loses what the engine of a rank knew, as a crash does.
func (g *Group) serveRestart(e *rankEngine, _ http.ResponseWriter, _ *http.Request) {
	*e = rankEngine{status: expertmap.Status{Step: g.report.Steps}}
}

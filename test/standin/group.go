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

// GroupConfig configures a Group.
type GroupConfig struct {
	Ranks, Experts, Layers int
	// Step is the duration of one step, which is one forward pass of all ranks.
	Step time.Duration
	// LoadTime is how long a rank takes to load the expert weights of a staged map.
	LoadTime time.Duration
	// DriftSteps is the number of steps after which the popularity of the experts changes. Zero
	// keeps it constant.
	DriftSteps uint64
}

// GroupReport is the response to GET /group.
type GroupReport struct {
	Steps uint64 `json:"steps"`
	// MixedSteps counts the steps in which two ranks used different expert maps.
	MixedSteps uint64 `json:"mixed"`
	// PausedTicks counts how often a step was due and could not start, because a rank had no
	// map or was paused.
	PausedTicks uint64 `json:"held"`
	// Maps counts the maps that all ranks used, one after the other.
	Maps int `json:"maps"`
	// Armed tells for each rank whether it is armed with a change that is not committed.
	Armed []bool `json:"armed"`
	// Skew is the imbalance of the ranks: the tokens of the most loaded rank divided by the mean
	// over all ranks, averaged over the steps.
	Skew float64 `json:"skew"`
}

// Group is a stand-in for the engines of all ranks of a group. They run in lockstep: no rank
// starts a step before all ranks can start it.
type Group struct {
	cfg GroupConfig
	mux *http.ServeMux

	// mu guards the fields below. popularity is the number of tokens of each expert in one step,
	// by layer and expert. imbalanceSum is the sum of the imbalances of all steps.
	mu           sync.Mutex
	ranks        []*rankEngine
	report       GroupReport
	lastMap      expertmap.Version
	popularity   [][]float64
	rng          *rand.Rand
	imbalanceSum float64
}

// rankEngine is the engine of one rank; it behaves as expertmap.Engine specifies. tokens counts
// the tokens by layer and slot since the last load report.
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

// Report returns the counts and the current state of the group.
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

// runStep runs one step on all ranks, unless one of them cannot start it.
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

// canStart reports whether the rank can start a step. It needs a map, and an armed change that
// is not committed pauses it at the step of the change.
func (e *rankEngine) canStart(step uint64) bool {
	s := e.status
	return s.HasMap() && !(s.HasUncommittedChange() && step >= s.Armed.Step)
}

// startStep starts a step, and activates the map of a committed change that is due.
func (e *rankEngine) startStep(step uint64) {
	e.status.Step = step
	armed := e.status.Armed
	if armed == nil || !armed.Committed || step < armed.Step {
		return
	}
	e.status.Active = expertmap.Installed{Version: armed.Version, FromStep: armed.Step}
	e.status.Armed = nil
	e.removeMaps(func(v expertmap.Version) bool { return v != armed.Version })
	e.tokens = nil
}

// removeMaps unloads the maps for which isDropped returns true.
func (e *rankEngine) removeMaps(isDropped func(expertmap.Version) bool) {
	e.status.Maps = slices.DeleteFunc(slices.Clone(e.status.Maps), func(m expertmap.Map) bool { return isDropped(m.Version) })
}

// loadedMap returns the loaded map with a version, nil if there is none.
func (e *rankEngine) loadedMap(v expertmap.Version) *expertmap.Map {
	for i := range e.status.Maps {
		if e.status.Maps[i].Version == v {
			return &e.status.Maps[i]
		}
	}
	return nil
}

// checkActiveMaps counts the step as mixed if the ranks use different maps, and otherwise counts
// its tokens.
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

// countTokens distributes the tokens of each expert evenly over its replicas, and adds the
// imbalance of the ranks to imbalanceSum.
func (g *Group) countTokens() {
	active := g.ranks[0].loadedMap(g.lastMap)
	if active == nil {
		return
	}
	byRank := make([]float64, len(g.ranks))
	for layerIndex, layer := range active.Layers {
		replicas := make([]int, g.cfg.Experts)
		for _, expert := range layer {
			replicas[expert]++
		}
		for slot, expert := range layer {
			count := g.popularity[layerIndex][expert] / float64(replicas[expert])
			rank := slot / active.SlotsPerRank
			byRank[rank] += count
			g.ranks[rank].addTokens(layerIndex, slot%active.SlotsPerRank, uint32(count), len(active.Layers), active.SlotsPerRank)
		}
	}
	sum, highest := 0.0, 0.0
	for _, count := range byRank {
		sum += count
		highest = math.Max(highest, count)
	}
	g.imbalanceSum += highest / (sum / float64(len(byRank)))
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

// drawPopularity draws a new random popularity that follows Zipf's law, so that few experts get
// most of the tokens.
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

// serveRank returns a handler that calls h with the rank in the path of the request, and with mu
// locked.
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

// serveLoad responds with the tokens since the last call. It reports one microsecond of step
// time for each token.
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

// serveStage starts to load the weights of a map in the background. The map appears in the
// status when LoadTime has passed.
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

// serveArm arms the rank with a change. It responds with 409 if a change is committed or armed
// with a higher ballot, if a map of the change is not loaded, or if the step or the version of
// the change is not newer than the current one. A repeated change only updates the ballot.
func (g *Group) serveArm(e *rankEngine, w http.ResponseWriter, r *http.Request) {
	var change expertmap.Change
	if json.NewDecoder(r.Body).Decode(&change) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	armed := e.status.Armed
	switch {
	case armed != nil && (armed.Committed || change.Ballot.Less(armed.Ballot)):
		w.WriteHeader(http.StatusConflict)
	case armed != nil && armed.Version == change.Version && armed.Step == change.Step:
		armed.Ballot = change.Ballot
	case e.loadedMap(change.Version) == nil, !change.Base.IsZero() && e.loadedMap(change.Base) == nil:
		w.WriteHeader(http.StatusConflict)
	case e.status.HasMap() && (change.Step <= e.status.Step || !e.status.Active.Version.Less(change.Version)):
		w.WriteHeader(http.StatusConflict)
	default:
		e.status.Armed = &change
	}
}

// serveCommit commits the armed change with the ballot of the order. A rank that has no map
// starts with the base map of the change, or with the new map if there is no base.
func (g *Group) serveCommit(e *rankEngine, w http.ResponseWriter, r *http.Request) {
	var order group.BallotRequest
	armed := e.status.Armed
	if json.NewDecoder(r.Body).Decode(&order) != nil || armed == nil || armed.Ballot != order.Ballot {
		w.WriteHeader(http.StatusConflict)
		return
	}
	switch {
	case e.status.HasMap():
		armed.Committed = true
	case !armed.Base.IsZero():
		e.status.Active = expertmap.Installed{Version: armed.Base}
		armed.Committed = true
	default:
		e.status.Active = expertmap.Installed{Version: armed.Version, FromStep: armed.Step}
		e.status.Armed = nil
	}
}

// serveAbort drops an armed change that is not committed, and its map, unless the ballot of the
// change is higher than that of the order.
func (g *Group) serveAbort(e *rankEngine, w http.ResponseWriter, r *http.Request) {
	var order group.BallotRequest
	armed := e.status.Armed
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if armed != nil && !armed.Committed && !order.Ballot.Less(armed.Ballot) {
		e.removeMaps(func(v expertmap.Version) bool { return v == armed.Version })
		e.status.Armed = nil
	}
}

// serveRestart resets the state of a rank, as when its engine crashes and restarts.
func (g *Group) serveRestart(e *rankEngine, _ http.ResponseWriter, _ *http.Request) {
	*e = rankEngine{status: expertmap.Status{Step: g.report.Steps}}
}

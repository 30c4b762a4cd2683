package control

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/registry"
)

// departureWorld is three control hosts, two entry hosts and some upstreams, with faults.
type departureWorld struct {
	t       *testing.T
	r       *rapid.T
	folder  string
	control []*voter
	entries []*entryHost
	// hasStartTimes is set if the upstreams state their start times and keep their IDs.
	hasStartTimes bool
	upstreams     []*worldUpstream
	// left holds the incarnations whose departure was acknowledged, doubtful those whose departure was
	// asked for.
	left, doubtful map[incarnation]bool
	// sent are the announcements of the past, of which copies may arrive late.
	sent []registry.Upstream
	// starts counts the starts of upstreams and of hosts.
	starts int
	// asked is the control host that was called last to acknowledge a departure.
	asked int
	// frozen is the host that is frozen; nil if none is.
	frozen *testHost
	// isHealed is set from heal until the next fault of control hosts.
	isHealed bool
}

type incarnation struct {
	id        string
	startedAt int64
}

func incarnationOf(u registry.Upstream) incarnation { return incarnation{u.ID, u.StartedAt} }

// worldUpstream is an upstream that announces itself to one control host as long as that runs.
type worldUpstream struct {
	registry.Upstream
	number, home int
}

func newDepartureWorld(t *testing.T, r *rapid.T) *departureWorld {
	w := &departureWorld{
		t: t, r: r, folder: t.TempDir(), control: make([]*voter, len(threeVoters)), entries: make([]*entryHost, 2),
		hasStartTimes: rapid.Bool().Draw(r, "start times"), left: make(map[incarnation]bool), doubtful: make(map[incarnation]bool),
	}
	w.heal()
	for i := range 3 {
		u := &worldUpstream{number: i}
		w.upstreams = append(w.upstreams, u)
		w.restartUpstream(u)
	}
	return w
}

func (w *departureWorld) stop() {
	for i := range w.control {
		w.kill(i)
	}
	for _, e := range w.entries {
		e.stop()
	}
}

func (w *departureWorld) dataFolder(i int) string { return filepath.Join(w.folder, threeVoters[i]) }

// heal starts the hosts that don't run, connects all of them, and waits until the control hosts know the
// same.
func (w *departureWorld) heal() {
	for i, v := range w.control {
		if v == nil {
			w.control[i] = newVoter(w.t, threeVoters[i], w.dataFolder(i), threeVoters...)
		}
	}
	for i, v := range w.control {
		for _, other := range w.control[:i] {
			w.eventually(func() bool { return v.isConnectedWith(w.t, other) }, "connected")
		}
	}
	w.attachEntryHosts()
	for _, v := range w.control {
		for _, other := range w.control {
			if !assert.Eventually(w.r, func() bool { return other.knowsDeparturesOf(v) }, propagationTimeout, time.Millisecond) {
				require.Fail(w.r, "the control hosts have not told each other", "%s knows %v and lists %v, %s knows %v",
					other.host.id, other.knownDepartures(), other.list(), v.host.id, v.knownDepartures())
			}
		}
	}
	w.isHealed = true
}

// isConnectedWith reports whether two control hosts have a session, and begins one if not. Hosts may still
// have one with the process that ran before a kill.
func (v *voter) isConnectedWith(t *testing.T, other *voter) bool {
	hasSession := func(from, to *voter) bool {
		s := from.host.cfg.Transport.session(to.host.id)
		return s != nil && s.Remote().Address == to.address
	}
	if hasSession(v, other) && hasSession(other, v) {
		return true
	}
	_, _ = v.pool.Get(t.Context(), other.address)
	return false
}

// attachEntryHosts starts the entry hosts that don't run and attaches all to the control hosts that do.
func (w *departureWorld) attachEntryHosts() {
	for i, e := range w.entries {
		if e == nil {
			w.starts++
			w.entries[i] = newEntryHost(w.t, fmt.Sprint("e", w.starts))
		}
		for _, v := range w.control {
			if v != nil && w.entries[i].pool.LiveSession(v.address) == nil {
				w.entries[i].attachTo(w.t, v)
			}
		}
	}
}

// knowsDeparturesOf reports whether a control host knows each departure that another one knows, or a
// later incarnation of the upstream.
func (v *voter) knowsDeparturesOf(other *voter) bool {
	known := make(map[string]registry.Upstream)
	for _, u := range v.list() {
		known[u.ID] = u
	}
	hasLeft := make(map[string]bool)
	for _, d := range v.knownDepartures() {
		hasLeft[d.ID] = d.IsStartUnknown
	}
	for _, d := range other.knownDepartures() {
		u, ok := known[d.ID]
		if d.IsStartUnknown || hasLeft[d.ID] {
			continue
		}
		if !ok || u.StartedAt < d.StartedAt || u.StartedAt == d.StartedAt && u.State < d.State {
			return false
		}
	}
	return true
}

func (v *voter) list() []registry.Upstream {
	v.host.fleet.mu.Lock()
	defer v.host.fleet.mu.Unlock()
	return v.host.fleet.registry.List(v.host.fleet.now())
}

func (v *voter) knownDepartures() []registry.Departure {
	v.host.fleet.mu.Lock()
	defer v.host.fleet.mu.Unlock()
	return v.host.fleet.registry.Departures(v.host.fleet.now())
}

func (w *departureWorld) eventually(ok func() bool, what string) {
	w.r.Helper()
	require.Eventually(w.r, ok, propagationTimeout, time.Millisecond, what)
}

// thaw wakes the frozen host, if there is one.
func (w *departureWorld) thaw() {
	if w.frozen != nil {
		w.frozen.frozen.Unlock()
		w.frozen = nil
	}
}

func (w *departureWorld) kill(i int) {
	if w.control[i] != nil {
		if w.control[i].testHost == w.frozen {
			w.thaw()
		}
		w.control[i].stop()
		w.control[i] = nil
	}
}

// cut ends the sessions of a control host with the others.
func (w *departureWorld) cut(i int) {
	for _, s := range w.control[i].host.cfg.Transport.Sessions() {
		s.Close()
	}
	for _, v := range w.control {
		if v != w.control[i] {
			w.eventually(func() bool { return v.host.cfg.Transport.session(w.control[i].host.id) == nil }, "cut off")
		}
	}
}

// announce sends an announcement to a control host and reports whether it was acknowledged.
func (w *departureWorld) announce(u registry.Upstream, i int) bool {
	if w.control[i] == nil {
		return false
	}
	w.sent = append(w.sent, u)
	return w.control[i].host.Announce(w.t.Context(), u) == nil
}

func (w *departureWorld) restartUpstream(u *worldUpstream) {
	w.starts++
	id := fmt.Sprint("u", u.number)
	if !w.hasStartTimes {
		id = fmt.Sprint("u", w.starts)
	}
	u.home = rapid.IntRange(0, 2).Draw(w.r, "home")
	u.Upstream = registry.Upstream{ID: id, Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", w.starts)}
	if w.hasStartTimes {
		u.StartedAt = int64(w.starts)
	}
	w.heartbeat(u)
}

// heartbeat announces an upstream to its control host, or to the next one that runs. It reports whether
// that was acknowledged.
func (w *departureWorld) heartbeat(u *worldUpstream) bool {
	u.Sequence++
	for i := range w.control {
		if w.announce(u.Upstream, (u.home+i)%len(w.control)) {
			return true
		}
	}
	return false
}

// depart drains an upstream, or lets it leave by a call with its start time or without, at any control
// host.
func (w *departureWorld) depart(u *worldUpstream) {
	how := rapid.SampledFrom([]string{"drain", "leave", "leave without start time"}).Draw(w.r, "how")
	call := registry.Upstream{ID: u.ID, State: registry.Gone}
	switch how {
	case "drain":
		u.Sequence++
		u.State = registry.Draining
		call = u.Upstream
	case "leave":
		call.StartedAt = u.StartedAt
	}
	w.doubtful[incarnationOf(u.Upstream)] = true
	w.asked = rapid.IntRange(0, 2).Draw(w.r, "at")
	if w.announce(call, w.asked) {
		w.left[incarnationOf(u.Upstream)] = true
	}
}

// departUnheard lets an upstream depart while an entry host has no session with one of the control hosts.
// The others must tell it.
func (w *departureWorld) departUnheard(u *worldUpstream) {
	if !w.isHealed {
		return
	}
	// Earlier steps may have ended its sessions with the others, who could not tell it then.
	w.attachEntryHosts()
	e, v := w.entries[0], rapid.SampledFrom(w.control).Draw(w.r, "without a session with")
	if s := e.pool.LiveSession(v.address); s != nil {
		s.Close()
	}
	w.eventually(func() bool { return !v.isAttached(e) }, "the session has ended")
	w.depart(u)
	w.eventually(func() bool { return e.keepsTo(nil, w.left) }, "the other control hosts tell of departures")
}

// isAttached reports whether an entry host is attached to the control host.
func (v *voter) isAttached(e *entryHost) bool {
	return slices.ContainsFunc(v.host.fleet.entrySessions(), func(s *peer.Session) bool { return s.Remote().Address == e.address })
}

// departBesideFaults lets an upstream depart while the disks of some control hosts hang, or while a host
// is frozen, which wakes after the next faults.
func (w *departureWorld) departBesideFaults() {
	hanging := rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 1, 2}).Draw(w.r, "disks that hang")
	for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(w.r, "which")[:hanging] {
		v := w.control[i]
		v.disk.stalled.Lock()
		defer v.disk.stalled.Unlock()
	}
	hosts := []*testHost{w.control[0].testHost, w.control[1].testHost, w.control[2].testHost, w.entries[0].testHost}
	// Large numbers are drawn seldom, and each freeze costs seconds.
	if i := rapid.IntRange(0, 60).Draw(w.r, "frozen host") - 57; i >= 0 {
		w.frozen = hosts[i]
		w.frozen.frozen.Lock()
		defer w.thaw()
	}
	w.depart(rapid.SampledFrom(w.upstreams).Draw(w.r, "upstream"))
	w.disrupt()
}

// disrupt brings a fault about that the users' pages let us expect.
func (w *departureWorld) disrupt() {
	i := rapid.SampledFrom([]int{0, 1, 2, w.asked, w.asked, w.asked}).Draw(w.r, "host")
	losesDisk := rapid.Bool().Draw(w.r, "loses its disk")
	w.isHealed = false
	switch rapid.SampledFrom([]string{"kill", "kill all", "cut", "none"}).Draw(w.r, "fault") {
	case "kill":
		w.kill(i)
	case "kill all":
		for all := range w.control {
			w.kill(all)
		}
	case "cut":
		// A frozen host would notice it only after a long silence.
		w.thaw()
		w.cut(i)
		return
	case "none":
		return
	}
	if losesDisk {
		require.NoError(w.t, os.RemoveAll(w.dataFolder(i)))
	}
}

// restartEntryHosts restarts any number of entry hosts.
func (w *departureWorld) restartEntryHosts() {
	restarted := rapid.SampledFrom([]int{0, 1, len(w.entries)}).Draw(w.r, "entry hosts that restart")
	for i, e := range w.entries[:restarted] {
		e.stop()
		w.entries[i] = nil
	}
}

// saveLists makes some control hosts save their lists of upstreams, as they do from time to time.
func (w *departureWorld) saveLists() {
	for _, v := range w.control {
		if v != nil && rapid.Bool().Draw(w.r, "saves its list") {
			v.host.fleet.saveUpstreams()
		}
	}
}

// step does one thing to the upstreams.
func (w *departureWorld) step() {
	u := rapid.SampledFrom(w.upstreams).Draw(w.r, "upstream")
	switch rapid.SampledFrom([]string{"restart", "depart", "depart unheard", "heartbeat", "late call"}).Draw(w.r, "step") {
	case "restart":
		w.restartUpstream(u)
	case "depart":
		w.depart(u)
	case "depart unheard":
		w.departUnheard(u)
	case "heartbeat":
		w.heartbeat(u)
	case "late call":
		late := rapid.SampledFrom(w.sent).Draw(w.r, "late")
		if late.State == registry.Ready {
			w.announce(late, rapid.IntRange(0, 2).Draw(w.r, "to"))
		}
	}
}

// checkBeforeHeal checks that the entry hosts keep to the departures as soon as they are attached to the
// control hosts that run, if these are a majority, whether they are connected or not.
func (w *departureWorld) checkBeforeHeal() {
	running := 0
	for _, v := range w.control {
		if v != nil {
			running++
		}
	}
	if running < 2 {
		return
	}
	w.attachEntryHosts()
	for _, e := range w.entries {
		w.eventually(func() bool { return e.keepsTo(nil, w.left) }, "departures are kept before the hosts are in touch")
	}
}

// check checks, while all hosts are in touch, that no entry host offers an incarnation whose departure
// was acknowledged, and that those that run are offered.
func (w *departureWorld) check() {
	expected := make(map[incarnation]bool)
	for _, u := range w.upstreams {
		key := incarnationOf(u.Upstream)
		if u.State == registry.Ready && !w.doubtful[key] && w.heartbeat(u) {
			expected[key] = true
		}
	}
	for _, e := range w.entries {
		w.eventually(func() bool { return e.keepsTo(expected, w.left) }, "departures are kept and the others are offered")
	}
}

// keepsTo reports whether an entry host offers what is expected, and nothing that has left.
func (e *entryHost) keepsTo(expected, left map[incarnation]bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	offered := 0
	for _, u := range e.view.Serving()["s"] {
		key := incarnationOf(u)
		if left[key] {
			return false
		}
		if expected[key] {
			offered++
		}
	}
	return offered == len(expected)
}

// Whatever upstreams and late calls do, and whichever control hosts are killed, lose their disks, return
// with older lists, freeze or are cut off, beside any number of entry hosts: a departure that was acknowledged
// holds at all entry hosts that are in touch, and ends no other incarnation.
func TestAcknowledgedDeparturesHoldUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		w := newDepartureWorld(t, r)
		defer w.stop()
		for range rapid.IntRange(1, 4).Draw(r, "rounds") {
			for range rapid.IntRange(0, 3).Draw(r, "steps before") {
				w.step()
			}
			w.saveLists()
			w.departBesideFaults()
			for range rapid.IntRange(0, 2).Draw(r, "steps during") {
				w.step()
			}
			w.restartEntryHosts()
			w.checkBeforeHeal()
			w.heal()
			w.check()
		}
	})
}

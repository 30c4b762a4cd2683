package expertmap

import "slices"

// maxOrderRounds limits how often orders are given to the engines for one request. The longest
// sequence, a commit at an engine without a map, takes two rounds.
const maxOrderRounds = 4

// request is a request in progress.
type request struct {
	from        Address
	msg         Message
	orderRounds int
	// lastOrders are the orders of the last round.
	lastOrders []Order
}

// Participant acts for the ranks of one host. It isn't safe for concurrent use. It handles one
// request at a time. A request that can't be answered yet, because weights are still loading or
// an engine gave no answer, is kept and tried again at each [Participant.Tick], so the
// coordinator doesn't have to send it again.
type Participant struct {
	incarnation   uint64
	recoveryTicks int
	silentTicks   int

	// promised never decreases within an incarnation, which is one run of the agent.
	promised Ballot
	// initialMap is the map that every group starts with, empty if the agents share no rule for
	// it. cache holds the maps whose content was seen most recently.
	initialMap Map
	cache      mapCache

	// aborted forbids arming again under the promised ballot, so that a delayed Arm doesn't undo
	// an Abort.
	aborted bool

	// current is the request in progress. Either awaitsTick is set and the request is tried again
	// at the next Tick, or the agent is executing its orders; queued is the last request that
	// arrived in that time.
	current    *request
	awaitsTick bool
	queued     *request
}

// Output is what a participant asks its agent to do.
type Output struct {
	// HasWork asks the agent to execute the orders in sequence, then to read the status of every
	// engine and to pass it to [Participant.Done]. The list of orders may be empty.
	HasWork bool
	Orders  []Order
	// Reply is the answer to send, or nil.
	Reply *Envelope
}

// NewParticipant returns a participant that hasn't promised any ballot. The incarnation must be
// unique for each start (random). recoveryTicks is the recovery delay: the number of ticks
// without word from a coordinator after which RecoveryDue reports true. initialMap is the map
// that every group starts with, by a rule that all participants share, or a map without content
// if there is no such rule. It is never evicted, so the first change of a group can be sent as a
// delta, like any later one. If the rule doesn't give the map that the group really started with,
// the deltas are larger but still correct: they only need a map that all participants know alike.
func NewParticipant(incarnation uint64, recoveryTicks int, initialMap Map) *Participant {
	return &Participant{incarnation: incarnation, recoveryTicks: recoveryTicks, initialMap: initialMap}
}

// SetRecoveryTicks changes the recovery delay; see [NewParticipant].
func (p *Participant) SetRecoveryTicks(ticks int) { p.recoveryTicks = ticks }

// Promised returns the highest ballot that the participant has promised.
func (p *Participant) Promised() Ballot { return p.promised }

// Step handles a request from a coordinator.
func (p *Participant) Step(from Address, m Message) Output {
	if reason := p.refusalReason(m); reason != 0 {
		return p.refuse(from, m, reason)
	}
	p.silentTicks = 0
	if m.IsKeepalive && m.ballot() == p.promised {
		return Output{}
	}
	if m.Promise != nil && p.promised.Less(m.Promise.Ballot) {
		p.promised = m.Promise.Ballot
		p.aborted = false
	}
	m, ok := p.fillContent(m)
	if !ok {
		out := p.refuse(from, m, ReasonContent)
		out.Reply.Message.Refused.KnownMaps = p.knownVersions()
		return out
	}
	r := &request{from: from, msg: m}
	if p.current != nil && !p.awaitsTick {
		p.queued = r
		return Output{}
	}
	return p.start(r)
}

// Map returns the map with the given version, if its content is cached or it is the initial map.
func (p *Participant) Map(v Version) (Map, bool) {
	if p.initialMap.hasContent() && p.initialMap.Version == v {
		return p.initialMap, true
	}
	return p.cache.find(v)
}

// removeMap forgets a map whose content turned out to differ from that of other participants.
func (p *Participant) removeMap(v Version) {
	p.cache.remove(v)
	if p.initialMap.Version == v {
		p.initialMap = Map{}
	}
}

// knownVersions lists the maps whose content the participant has.
func (p *Participant) knownVersions() []Version {
	out := p.cache.versions()
	if p.initialMap.hasContent() && !slices.Contains(out, p.initialMap.Version) {
		out = append(out, p.initialMap.Version)
	}
	return out
}

// fillContent completes a stage request with the content of its maps, taken from the request and
// from the cache. It reports whether the content of all maps is known.
func (p *Participant) fillContent(m Message) (Message, bool) {
	if m.Stage == nil {
		return m, true
	}
	for _, content := range m.Stage.Maps {
		p.cache.add(content)
	}
	if d := m.Stage.Delta; d != nil {
		base, _ := p.Map(d.Base)
		if content, ok := d.Apply(base); ok {
			p.cache.add(content)
		} else {
			// The cached map has other content than the coordinator's map of this version.
			p.removeMap(d.Base)
		}
	}
	full := *m.Stage
	full.Delta = nil
	for _, v := range m.Stage.Versions {
		if slices.ContainsFunc(full.Maps, func(o Map) bool { return o.Version == v }) {
			continue
		}
		content, ok := p.Map(v)
		if !ok {
			return m, false
		}
		full.Maps = append(slices.Clip(full.Maps), content)
	}
	return Message{Stage: &full}, true
}

// start begins to handle a request. It replaces a request that awaits a tick.
func (p *Participant) start(r *request) Output {
	p.current, p.awaitsTick = r, false
	return Output{HasWork: true}
}

// Tick tries again to answer the request that awaits a tick, if there is one.
func (p *Participant) Tick() Output {
	if p.current == nil || !p.awaitsTick {
		return Output{}
	}
	return p.start(&request{from: p.current.from, msg: p.current.msg})
}

// refusalReason returns why a request has to be refused, or zero.
func (p *Participant) refusalReason(m Message) Reason {
	if m.Promise != nil {
		if m.Promise.Ballot.Less(p.promised) {
			return ReasonBallot
		}
		return 0
	}
	h, ok := m.header()
	switch {
	case !ok:
		return ReasonState
	case h.incarnation != p.incarnation:
		return ReasonIncarnation
	case h.ballot != p.promised:
		return ReasonBallot
	case p.aborted && (m.Arm != nil || m.Stage != nil):
		return ReasonState
	}
	return 0
}

// Done continues the current request with the status of every engine, read after the orders of
// the last output were executed. After an error, which means that some engine didn't answer, the
// request is tried again at the next Tick.
func (p *Participant) Done(ranks []Status, err error) Output {
	r := p.current
	if r == nil {
		return Output{}
	}
	if r.msg.ballot().Less(p.promised) {
		return p.finish(nil)
	}
	if err != nil {
		return p.waitForTick()
	}
	p.cacheMaps(ranks)
	if high := highestBallot(ranks); p.promised.Less(high) {
		p.promised = high
		return p.finish(p.refusal(r, ReasonBallot))
	}
	orders, reason := plan(r.msg, ranks)
	switch {
	case reason != 0:
		refusal := p.refusal(r, reason)
		refusal.Message.Refused.LastStartedStep = lastStep(ranks)
		return p.finish(refusal)
	case len(orders) == 0:
		return p.finish(p.answer(r, ranks))
	case r.orderRounds == maxOrderRounds || slices.Equal(orders, r.lastOrders):
		return p.waitForTick()
	}
	r.orderRounds++
	r.lastOrders = orders
	return Output{HasWork: true, Orders: orders}
}

// waitForTick keeps the current request for the next Tick, unless another request is queued.
func (p *Participant) waitForTick() Output {
	if p.queued != nil {
		return p.finish(nil)
	}
	p.awaitsTick = true
	return Output{}
}

// finish ends the current request and starts the queued one, if it is still allowed.
func (p *Participant) finish(reply *Envelope) Output {
	next := p.queued
	p.current, p.queued = nil, nil
	if next == nil || p.refusalReason(next.msg) != 0 {
		return Output{Reply: reply}
	}
	out := p.start(next)
	out.Reply = reply
	return out
}

// answer returns the reply to a request that the ranks have carried out.
func (p *Participant) answer(r *request, ranks []Status) *Envelope {
	b := p.promised
	var m Message
	switch {
	case r.msg.Promise != nil:
		m.Promised = p.promisedReply(ranks, r.msg.Promise.RequestedMaps)
	case r.msg.Stage != nil:
		m.Staged = &Staged{Ballot: b, Step: lastStep(ranks)}
	case r.msg.Arm != nil:
		m.Armed = &Armed{Ballot: b, Step: r.msg.Arm.Step}
	case r.msg.Commit != nil:
		m.Committed = &Committed{Ballot: b}
	case r.msg.Abort != nil:
		p.aborted = true
		m.Aborted = &Aborted{Ballot: b}
	case r.msg.Release != nil:
		m.Released = &Released{Ballot: b}
	}
	return &Envelope{To: r.from, Message: m}
}

// cacheMaps caches the maps that the engines have loaded. Those in use or armed are added last:
// engines may have more maps loaded than the cache holds, and these must not be evicted.
func (p *Participant) cacheMaps(ranks []Status) {
	var loaded, inUse mapCache
	for _, r := range ranks {
		loaded = append(loaded, r.Maps...)
	}
	for _, r := range ranks {
		for _, v := range r.mapsInUse() {
			if m, ok := loaded.find(v); ok {
				inUse = append(inUse, m)
			} else if m, ok := p.cache.find(v); ok {
				inUse = append(inUse, m)
			}
		}
	}
	for _, m := range append(loaded, inUse...) {
		p.cache.add(m)
	}
}

// promisedReply returns the state of the ranks and the content of the requested maps.
func (p *Participant) promisedReply(ranks []Status, requested []Version) *Promised {
	out := &Promised{Ballot: p.promised, Incarnation: p.incarnation, KnownMaps: p.knownVersions(), HasRequestedMaps: len(requested) > 0}
	for _, v := range requested {
		if m, ok := p.Map(v); ok {
			out.Maps = append(out.Maps, m)
		}
	}
	for _, r := range ranks {
		r.Maps = nil
		out.Ranks = append(out.Ranks, r)
	}
	return out
}

func (p *Participant) refuse(from Address, m Message, reason Reason) Output {
	return Output{Reply: p.refusal(&request{from: from, msg: m}, reason)}
}

func (p *Participant) refusal(r *request, reason Reason) *Envelope {
	refused := &Refused{Ballot: r.msg.ballot(), Promised: p.promised, Reason: reason}
	return &Envelope{To: r.from, Message: Message{Refused: refused}}
}

// RecoveryDue takes the status of every engine, once a tick. It returns true if the ranks wait
// for a decision (an engine is paused, armed with an uncommitted change, or without a map) and no
// coordinator has been heard from for the recovery delay. The agent should then start a recovery.
// Agents should use different delays, so that they don't all start one at the same time.
func (p *Participant) RecoveryDue(ranks []Status) bool {
	if !awaitDecision(ranks) {
		p.silentTicks = 0
		return false
	}
	p.silentTicks++
	return p.silentTicks > p.recoveryTicks
}

func awaitDecision(ranks []Status) bool {
	for _, r := range ranks {
		if r.HasUncommittedChange() || r.Paused || !r.HasMap() {
			return true
		}
	}
	return false
}

func highestBallot(ranks []Status) Ballot {
	var b Ballot
	for _, r := range ranks {
		b = maxBallot(b, r.highestBallot())
	}
	return b
}

func lastStep(ranks []Status) uint64 {
	var s uint64
	for _, r := range ranks {
		s = max(s, r.Step)
	}
	return s
}

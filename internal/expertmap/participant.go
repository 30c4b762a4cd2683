package expertmap

import "slices"

// maxRounds bounds the rounds of orders for one request; the longest, a commit
// at an engine without a map, takes two.
const maxRounds = 4

// request is a message in work.
type request struct {
	from   Address
	msg    Message
	rounds int
	// last are the orders given in the last round.
	last []Order
}

// Participant speaks for the ranks of one host. It isn't safe for concurrent
// use. It works on one request at a time. A request that can't be answered yet
// (weights are still loading, an engine gave no answer) waits for
// [Participant.Tick], so that the coordinator need not send it again.
type Participant struct {
	incarnation uint64
	patience    int
	quiet       int

	// promised never falls within an incarnation.
	promised Ballot
	// first is the map that every group begins with, empty where no rule gives it; maps are
	// those whose content was seen last.
	first Map
	maps  library

	// aborted forbids to arm again under the promised ballot, so that a late
	// Arm doesn't undo an Abort.
	aborted bool

	// current is the request in work. While it waits for Tick, isWaiting is set; otherwise
	// the agent is at work for it, and next is what came meanwhile.
	current   *request
	isWaiting bool
	next      *request
}

// Output is what a participant wants done.
type Output struct {
	// HasWork asks the agent to execute the orders in turn, then to read the
	// status of every engine and to call [Participant.Done]. The orders may be
	// empty.
	HasWork bool
	Orders  []Order
	// Reply is to be sent if not nil.
	Reply *Envelope
}

// NewParticipant returns a participant that has promised nothing. The
// incarnation must be unique for each start (random). Patience is the number of
// ticks for which Observe waits. First is the map that every group begins with by a rule
// that all participants know; without content where there is no such rule. It is never
// forgotten, so the first change of a group is sent as a difference, like any other. Where
// the rule is wrong, the differences are larger and as true: they only need a map that all
// know alike.
func NewParticipant(incarnation uint64, patience int, first Map) *Participant {
	return &Participant{incarnation: incarnation, patience: patience, first: first}
}

// Promised returns the highest ballot that the participant has promised.
func (p *Participant) Promised() Ballot { return p.promised }

// Step takes a request of a coordinator.
func (p *Participant) Step(from Address, m Message) Output {
	if reason := p.check(m); reason != 0 {
		return p.refuse(from, m, reason)
	}
	p.quiet = 0
	if m.Promise != nil && p.promised.Less(m.Promise.Ballot) {
		p.promised = m.Promise.Ballot
		p.aborted = false
	}
	m, ok := p.complete(m)
	if !ok {
		out := p.refuse(from, m, ReasonContent)
		out.Reply.Message.Refused.KnownMaps = p.known()
		return out
	}
	r := &request{from: from, msg: m}
	if p.current != nil && !p.isWaiting {
		p.next = r
		return Output{}
	}
	return p.begin(r)
}

// Map returns a map that the participant remembers.
func (p *Participant) Map(v Version) (Map, bool) {
	if p.first.hasContent() && p.first.Version == v {
		return p.first, true
	}
	return p.maps.find(v)
}

// forget drops a map that is not the one that others mean.
func (p *Participant) forget(v Version) {
	p.maps.drop(v)
	if p.first.Version == v {
		p.first = Map{}
	}
}

// known lists the maps whose content the participant knows.
func (p *Participant) known() []Version {
	out := p.maps.versions()
	if p.first.hasContent() && !slices.Contains(out, p.first.Version) {
		out = append(out, p.first.Version)
	}
	return out
}

// complete gives a request to stage the content of its maps, from what it carries and
// what is remembered. It reports whether all is known.
func (p *Participant) complete(m Message) (Message, bool) {
	if m.Stage == nil {
		return m, true
	}
	for _, content := range m.Stage.Maps {
		p.maps.keep(content)
	}
	if d := m.Stage.Delta; d != nil {
		base, _ := p.Map(d.Base)
		if content, ok := d.Apply(base); ok {
			p.maps.keep(content)
		} else {
			// What is remembered is not the map that the coordinator means.
			p.forget(d.Base)
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

// begin works on a request, in place of one that waits.
func (p *Participant) begin(r *request) Output {
	p.current, p.isWaiting = r, false
	return Output{HasWork: true}
}

// Tick looks again whether the request that waits can be answered now.
func (p *Participant) Tick() Output {
	if p.current == nil || !p.isWaiting {
		return Output{}
	}
	return p.begin(&request{from: p.current.from, msg: p.current.msg})
}

// check returns why a request is refused, or zero.
func (p *Participant) check(m Message) Reason {
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

// Done takes the status of every engine after the orders of the last output
// have been given. An error (some engine didn't answer) lets the request wait.
func (p *Participant) Done(ranks []Status, err error) Output {
	r := p.current
	if r == nil {
		return Output{}
	}
	if r.msg.ballot().Less(p.promised) {
		return p.finish(nil)
	}
	if err != nil {
		return p.wait()
	}
	p.remember(ranks)
	if high := highest(ranks); p.promised.Less(high) {
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
	case r.rounds == maxRounds || slices.Equal(orders, r.last):
		return p.wait()
	}
	r.rounds++
	r.last = orders
	return Output{HasWork: true, Orders: orders}
}

// wait leaves the current request to the next tick, unless another one has come.
func (p *Participant) wait() Output {
	if p.next != nil {
		return p.finish(nil)
	}
	p.isWaiting = true
	return Output{}
}

// finish ends the current request and begins the one that came meanwhile, if it is
// still allowed.
func (p *Participant) finish(reply *Envelope) Output {
	next := p.next
	p.current, p.next = nil, nil
	if next == nil || p.check(next.msg) != 0 {
		return Output{Reply: reply}
	}
	out := p.begin(next)
	out.Reply = reply
	return out
}

// answer returns the reply to a request that has been carried out.
func (p *Participant) answer(r *request, ranks []Status) *Envelope {
	b := p.promised
	var m Message
	switch {
	case r.msg.Promise != nil:
		m.Promised = p.promise(ranks, r.msg.Promise.RequestedMaps)
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

// remember keeps the maps that the engines have, those in use or armed as the latest:
// engines may have more than are remembered.
func (p *Participant) remember(ranks []Status) {
	var all, first library
	for _, r := range ranks {
		all = append(all, r.Maps...)
	}
	for _, r := range ranks {
		for _, v := range r.inUse() {
			if m, ok := all.find(v); ok {
				first = append(first, m)
			} else if m, ok := p.maps.find(v); ok {
				first = append(first, m)
			}
		}
	}
	for _, m := range append(all, first...) {
		p.maps.keep(m)
	}
}

// promise returns the state of the ranks, and the maps that are wanted.
func (p *Participant) promise(ranks []Status, wanted []Version) *Promised {
	out := &Promised{Ballot: p.promised, Incarnation: p.incarnation, KnownMaps: p.known(), HasRequestedMaps: len(wanted) > 0}
	for _, v := range wanted {
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

// RecoveryDue takes the status of every engine once a tick. It returns true when
// the ranks wait for a decision (a change is armed but not committed, or an
// engine has no map) and no coordinator has been heard for the patience; the
// agent should then start a recovery, and agents should draw different
// patiences so that they don't start together.
func (p *Participant) RecoveryDue(ranks []Status) bool {
	if !waiting(ranks) {
		p.quiet = 0
		return false
	}
	p.quiet++
	return p.quiet > p.patience
}

func waiting(ranks []Status) bool {
	for _, r := range ranks {
		if r.HasUncommittedChange() || r.Paused || !r.HasMap() {
			return true
		}
	}
	return false
}

func highest(ranks []Status) Ballot {
	var b Ballot
	for _, r := range ranks {
		b = maxBallot(b, r.highest())
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

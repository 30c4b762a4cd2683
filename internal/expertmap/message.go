package expertmap

import "slices"

// Address identifies a participant or a coordinator of a group. It is the number of the agent's
// host.
type Address uint32

// Message is a union: exactly one of its fields is set.
type Message struct {
	Promise   *Promise   `cbor:"1,keyasint,omitempty"`
	Promised  *Promised  `cbor:"2,keyasint,omitempty"`
	Stage     *Stage     `cbor:"3,keyasint,omitempty"`
	Staged    *Staged    `cbor:"4,keyasint,omitempty"`
	Arm       *Arm       `cbor:"5,keyasint,omitempty"`
	Armed     *Armed     `cbor:"6,keyasint,omitempty"`
	Commit    *Commit    `cbor:"7,keyasint,omitempty"`
	Committed *Committed `cbor:"8,keyasint,omitempty"`
	Abort     *Abort     `cbor:"9,keyasint,omitempty"`
	Aborted   *Aborted   `cbor:"10,keyasint,omitempty"`
	Refused   *Refused   `cbor:"11,keyasint,omitempty"`
	Release   *Release   `cbor:"12,keyasint,omitempty"`
	Released  *Released  `cbor:"13,keyasint,omitempty"`
	// IsKeepalive is set in a request that only tells that its coordinator is still at work. A
	// participant that has promised the ballot neither executes nor answers it.
	IsKeepalive bool `cbor:"14,keyasint,omitempty"`
}

// Envelope is a message and the address to send it to.
type Envelope struct {
	To      Address
	Message Message
}

// Promise asks a participant to refuse all lower ballots from now on, and to report the state of
// its ranks.
type Promise struct {
	Ballot Ballot `cbor:"1,keyasint"`
	// RequestedMaps lists the maps whose content the answer has to contain.
	RequestedMaps []Version `cbor:"3,keyasint,omitempty"`
}

// Promised answers Promise.
type Promised struct {
	Ballot Ballot `cbor:"1,keyasint"`
	// Incarnation identifies the run of the participant, from one restart to the next, in which
	// it gave the promise.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Ranks holds the status of each engine, without its Maps.
	Ranks []Status `cbor:"3,keyasint"`
	// Maps holds those of the requested maps that the participant has.
	Maps []Map `cbor:"4,keyasint,omitempty"`
	// KnownMaps lists the maps whose content the participant has.
	KnownMaps []Version `cbor:"5,keyasint,omitempty"`
	// HasRequestedMaps tells that the request asked for maps. It tells this answer apart from a
	// repeated answer to a plain promise, which has no maps even if the participant knows them.
	HasRequestedMaps bool `cbor:"6,keyasint,omitempty"`
}

// header holds the fields that every request after the promise carries.
type header struct {
	ballot      Ballot
	incarnation uint64
}

// Stage asks a participant to load the weights of maps. It also confirms the promise, and names
// no maps if nothing has to be loaded.
type Stage struct {
	Ballot      Ballot `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Maps holds the content of the maps to load; Delta holds that of one of them as a
	// difference. A repeated request has neither: content is sent once, unless the participant
	// asks for it.
	Maps []Map `cbor:"3,keyasint,omitempty"`
	// OnlyRanksWithoutMap tells that only ranks without a map have to load the maps.
	OnlyRanksWithoutMap bool   `cbor:"4,keyasint,omitempty"`
	Delta               *Delta `cbor:"5,keyasint,omitempty"`
	// Versions lists the maps to load.
	Versions []Version `cbor:"6,keyasint,omitempty"`
}

// Staged tells that all weights are loaded and that the promise is still valid.
type Staged struct {
	Ballot Ballot `cbor:"1,keyasint"`
	// Step is the last step that any rank of the participant has started.
	Step uint64 `cbor:"2,keyasint"`
}

// Arm asks the ranks to switch to a map at a coming step, and to pause before that step until the
// commit.
type Arm struct {
	Ballot      Ballot  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"`
	Version     Version `cbor:"3,keyasint"`
	Step        uint64  `cbor:"4,keyasint"`
}

// Armed tells that all ranks of the participant are armed.
type Armed struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Step   uint64 `cbor:"2,keyasint"`
}

// Commit tells the ranks which map the group uses.
type Commit struct {
	Ballot      Ballot `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Current is the map that the ballot has decided on.
	Current CurrentMap `cbor:"3,keyasint"`
}

// Committed tells that all ranks of the participant have committed.
type Committed struct {
	Ballot Ballot `cbor:"1,keyasint"`
}

// Abort tells the ranks to remove a change that isn't committed.
type Abort struct {
	Ballot      Ballot `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Current is the version of the newest committed map. If an engine is armed with a newer one,
	// that change is removed even if the engine would no longer pause for it: a delayed order of
	// an earlier ballot has resumed the engine.
	Current Version `cbor:"3,keyasint"`
}

// Aborted tells that no rank of the participant is armed with an uncommitted change.
type Aborted struct {
	Ballot Ballot `cbor:"1,keyasint"`
}

// Release tells paused ranks to resume: no rank of the group is armed with an uncommitted change
// any more.
type Release struct {
	Ballot      Ballot `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Current is the version of the newest committed map, as in Abort.
	Current Version `cbor:"3,keyasint"`
}

// Released tells that no rank of the participant is paused.
type Released struct {
	Ballot Ballot `cbor:"1,keyasint"`
}

// Reason tells why a participant refuses a request.
type Reason uint8

const (
	// ReasonBallot: the participant has promised a higher ballot.
	ReasonBallot Reason = iota + 1
	// ReasonIncarnation: the participant has restarted since its promise.
	ReasonIncarnation
	// ReasonStep: a rank has already started the step to arm, or is armed for another step.
	ReasonStep
	// ReasonState: a rank has no map, or isn't in the state that the request assumes. A new
	// ballot has to collect the states of all ranks first.
	ReasonState
	// ReasonContent: the participant doesn't have the content of a map to load.
	ReasonContent
)

// Refused is the negative answer to any request.
type Refused struct {
	// Ballot is the ballot of the refused request.
	Ballot Ballot `cbor:"1,keyasint"`
	// Promised is the highest ballot that the participant knows of.
	Promised Ballot `cbor:"2,keyasint"`
	Reason   Reason `cbor:"3,keyasint"`
	// LastStartedStep is the last step that a rank has started. It is set with ReasonStep.
	LastStartedStep uint64 `cbor:"4,keyasint,omitempty"`
	// KnownMaps lists the maps whose content the participant has. It is set with ReasonContent.
	KnownMaps []Version `cbor:"5,keyasint,omitempty"`
}

// header returns the ballot and incarnation of a request that follows a
// promise.
func (m Message) header() (header, bool) {
	switch {
	case m.Stage != nil:
		return header{m.Stage.Ballot, m.Stage.Incarnation}, true
	case m.Arm != nil:
		return header{m.Arm.Ballot, m.Arm.Incarnation}, true
	case m.Commit != nil:
		return header{m.Commit.Ballot, m.Commit.Incarnation}, true
	case m.Abort != nil:
		return header{m.Abort.Ballot, m.Abort.Incarnation}, true
	case m.Release != nil:
		return header{m.Release.Ballot, m.Release.Incarnation}, true
	}
	return header{}, false
}

// WithoutIncarnation returns a copy of the request without the participant's incarnation, and the
// incarnation. Requests that ask several participants for the same thing are equal without it.
func (m Message) WithoutIncarnation() (Message, uint64) {
	h, _ := m.header()
	return m.WithIncarnation(0), h.incarnation
}

// WithIncarnation returns a copy of the request that carries the incarnation of a participant.
func (m Message) WithIncarnation(incarnation uint64) Message {
	switch {
	case m.Stage != nil:
		c := *m.Stage
		c.Incarnation = incarnation
		m.Stage = &c
	case m.Arm != nil:
		c := *m.Arm
		c.Incarnation = incarnation
		m.Arm = &c
	case m.Commit != nil:
		c := *m.Commit
		c.Incarnation = incarnation
		m.Commit = &c
	case m.Abort != nil:
		c := *m.Abort
		c.Incarnation = incarnation
		m.Abort = &c
	case m.Release != nil:
		c := *m.Release
		c.Incarnation = incarnation
		m.Release = &c
	}
	return m
}

// hasSameContent reports whether two requests of one round are equal, apart from the incarnation.
// Only stage requests can differ otherwise than by IsKeepalive, in the map content that they carry.
func (m Message) hasSameContent(o Message) bool {
	if m.IsKeepalive != o.IsKeepalive {
		return false
	}
	if m.Stage == nil || o.Stage == nil {
		return true
	}
	return m.Stage.Delta == o.Stage.Delta && len(m.Stage.Maps) == len(o.Stage.Maps) &&
		len(m.Stage.Versions) == len(o.Stage.Versions)
}

// Multicast is one request to several participants.
type Multicast struct {
	// Message is the request without an incarnation.
	Message Message
	To      []Recipient
}

// Recipient is a participant and the incarnation in which it gave its promise.
type Recipient struct {
	Address     Address
	Incarnation uint64
}

// Multicasts groups the requests of one round that are equal apart from the incarnation.
func Multicasts(all []Envelope) []Multicast {
	var out []Multicast
	for _, e := range all {
		body, incarnation := e.Message.WithoutIncarnation()
		to := Recipient{Address: e.To, Incarnation: incarnation}
		i := slices.IndexFunc(out, func(m Multicast) bool { return m.Message.hasSameContent(body) })
		if i < 0 {
			out = append(out, Multicast{Message: body, To: []Recipient{to}})
			continue
		}
		out[i].To = append(out[i].To, to)
	}
	return out
}

// ballot returns the ballot of a request.
func (m Message) ballot() Ballot {
	if m.Promise != nil {
		return m.Promise.Ballot
	}
	h, _ := m.header()
	return h.ballot
}

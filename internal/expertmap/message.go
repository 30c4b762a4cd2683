package expertmap

import "slices"

// Address names a participant or a coordinator of a group; it is the agent's
// host number.
type Address uint32

// Message is exactly one of its fields.
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
}

// Envelope is a message to send.
type Envelope struct {
	To      Address
	Message Message
}

// Promise asks a participant to refuse all lower ballots and to tell its state.
type Promise struct {
	Ballot Ballot `cbor:"1,keyasint"`
	// RequestedMaps lists the maps that the answer has to contain.
	RequestedMaps []Version `cbor:"3,keyasint,omitempty"`
}

// Promised answers Promise.
type Promised struct {
	Ballot Ballot `cbor:"1,keyasint"`
	// Incarnation is the start of the participant that gave the promise.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Ranks is the state of each engine, without maps.
	Ranks []Status `cbor:"3,keyasint"`
	// Maps are those that were wanted and that the participant knows.
	Maps []Map `cbor:"4,keyasint,omitempty"`
	// KnownMaps lists the maps whose content the participant knows.
	KnownMaps []Version `cbor:"5,keyasint,omitempty"`
	// HasRequestedMaps tells that maps were wanted: a repeated answer to a promise says nothing of
	// maps.
	HasRequestedMaps bool `cbor:"6,keyasint,omitempty"`
}

// header is what each request after the promise carries.
type header struct {
	ballot      Ballot
	incarnation uint64
}

// Stage asks for the maps' weights to be loaded. It also confirms the promise,
// and names no maps where nothing has to be loaded.
type Stage struct {
	Ballot      Ballot `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Maps is the content of the maps to load, Delta that of one of them. A request that
	// is sent again has neither: content goes out once, unless it is asked for.
	Maps []Map `cbor:"3,keyasint,omitempty"`
	// OnlyRanksWithoutMap says that the maps are only for ranks that have none.
	OnlyRanksWithoutMap bool   `cbor:"4,keyasint,omitempty"`
	Delta               *Delta `cbor:"5,keyasint,omitempty"`
	// Versions are the maps to load.
	Versions []Version `cbor:"6,keyasint,omitempty"`
}

// Staged says that all weights are loaded and the promise still holds.
type Staged struct {
	Ballot Ballot `cbor:"1,keyasint"`
	// Step is the last step started by any of the ranks.
	Step uint64 `cbor:"2,keyasint"`
}

// Arm asks the ranks to hold at a step ahead.
type Arm struct {
	Ballot      Ballot  `cbor:"1,keyasint"`
	Incarnation uint64  `cbor:"2,keyasint"`
	Version     Version `cbor:"3,keyasint"`
	Step        uint64  `cbor:"4,keyasint"`
}

// Armed says that all ranks of the participant are armed.
type Armed struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Step   uint64 `cbor:"2,keyasint"`
}

// Commit tells that the group uses a map.
type Commit struct {
	Ballot      Ballot `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Current is the decision.
	Current CurrentMap `cbor:"3,keyasint"`
}

// Committed says that all ranks of the participant have committed.
type Committed struct {
	Ballot Ballot `cbor:"1,keyasint"`
}

// Abort tells the ranks to drop a change that isn't committed.
type Abort struct {
	Ballot      Ballot `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Current is the newest committed map. A newer one that an engine is armed with is
	// dropped although the engine would not hold any more: it was let go by an order of
	// an earlier ballot that came late.
	Current Version `cbor:"3,keyasint"`
}

// Aborted says that no rank of the participant is armed uncommitted.
type Aborted struct {
	Ballot Ballot `cbor:"1,keyasint"`
}

// Release tells the ranks to go on: no rank of the group is armed uncommitted.
type Release struct {
	Ballot      Ballot `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Current is as in Abort.
	Current Version `cbor:"3,keyasint"`
}

// Released says that no rank of the participant holds.
type Released struct {
	Ballot Ballot `cbor:"1,keyasint"`
}

// Reason says why a participant refuses.
type Reason uint8

const (
	// ReasonBallot: a higher ballot has been promised.
	ReasonBallot Reason = iota + 1
	// ReasonIncarnation: the participant has restarted since its promise.
	ReasonIncarnation
	// ReasonStep: a rank has already started the step to arm at, or is armed at another.
	ReasonStep
	// ReasonState: a rank has no map, or not the state that the order assumes;
	// a new ballot has to look first.
	ReasonState
	// ReasonContent: the participant does not know the content of a map to load.
	ReasonContent
)

// Refused answers any request.
type Refused struct {
	// Ballot is that of the refused request.
	Ballot Ballot `cbor:"1,keyasint"`
	// Promised is the highest ballot that the participant knows.
	Promised Ballot `cbor:"2,keyasint"`
	Reason   Reason `cbor:"3,keyasint"`
	// LastStartedStep is the last step that a rank has begun; it is known with ReasonStep.
	LastStartedStep uint64 `cbor:"4,keyasint,omitempty"`
	// KnownMaps lists the maps whose content the participant knows, with ReasonContent.
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

// WithoutIncarnation returns the request without the participant's incarnation, and that: what is
// left is the same for all participants that are asked the same.
func (m Message) WithoutIncarnation() (Message, uint64) {
	h, _ := m.header()
	return m.WithIncarnation(0), h.incarnation
}

// WithIncarnation returns a copy of the request for a participant's incarnation.
func (m Message) WithIncarnation(incarnation uint64) Message {
	switch {
	case m.Stage != nil:
		c := *m.Stage
		c.Incarnation = incarnation
		return Message{Stage: &c}
	case m.Arm != nil:
		c := *m.Arm
		c.Incarnation = incarnation
		return Message{Arm: &c}
	case m.Commit != nil:
		c := *m.Commit
		c.Incarnation = incarnation
		return Message{Commit: &c}
	case m.Abort != nil:
		c := *m.Abort
		c.Incarnation = incarnation
		return Message{Abort: &c}
	case m.Release != nil:
		c := *m.Release
		c.Incarnation = incarnation
		return Message{Release: &c}
	}
	return m
}

// isAlike reports whether two requests of one round ask the same, apart from the
// incarnation: only those that stage may differ, in the content that they carry.
func (m Message) isAlike(o Message) bool {
	if m.Stage == nil || o.Stage == nil {
		return true
	}
	return m.Stage.Delta == o.Stage.Delta && len(m.Stage.Maps) == len(o.Stage.Maps) &&
		len(m.Stage.Versions) == len(o.Stage.Versions)
}

// Multicast is one request to several participants.
type Multicast struct {
	// Message has no incarnation.
	Message Message
	To      []Recipient
}

// Recipient is a participant, and the incarnation that it promised in.
type Recipient struct {
	Address     Address
	Incarnation uint64
}

// Multicasts puts requests of one round together that ask the same.
func Multicasts(all []Envelope) []Multicast {
	var out []Multicast
	for _, e := range all {
		body, incarnation := e.Message.WithoutIncarnation()
		to := Recipient{Address: e.To, Incarnation: incarnation}
		i := slices.IndexFunc(out, func(m Multicast) bool { return m.Message.isAlike(body) })
		if i < 0 {
			out = append(out, Multicast{Message: body, To: []Recipient{to}})
			continue
		}
		out[i].To = append(out[i].To, to)
	}
	return out
}

// ballot returns the ballot of any request.
func (m Message) ballot() Ballot {
	if m.Promise != nil {
		return m.Promise.Ballot
	}
	h, _ := m.header()
	return h.ballot
}

package quarantine

import (
	"cmp"
	"strings"
	"time"
	"unicode/utf8"
)

// maxNameBytes is the longest name that a suspicion may contain.
const maxNameBytes = 256

// Incarnation identifies an upstream from one start of its process to the next.
type Incarnation struct {
	Upstream string `cbor:"1,keyasint"`
	// StartedAt tells the incarnations of an upstream apart. It is a time in Unix milliseconds.
	// For an upstream that announces itself, it is the start time that the upstream sends, or 0
	// if it sends none. For an upstream behind an agent, whose start time is not known, it is
	// when the agent detected the crash; all reports of the same crash have the same value.
	StartedAt int64 `cbor:"2,keyasint,omitempty"`
}

// Suspicion states that a request, or a request with a part of a prompt, was running on an upstream
// when the upstream crashed. Hosts exchange suspicions. Merging them is commutative and idempotent:
// neither their order nor repeated delivery changes the result.
type Suspicion struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Workspace is that of the request, empty for a part.
	Workspace string `cbor:"2,keyasint,omitempty"`
	// Carrier is the request that had the part; zero for the suspicion of a request.
	Carrier     Fingerprint `cbor:"9,keyasint,omitzero"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	// Service is what the upstream served.
	Service string `cbor:"8,keyasint,omitempty"`
	// Request is the id that the request had on that upstream, to find it in logs.
	Request string `cbor:"4,keyasint,omitempty"`
	// AgeMS is how long ago the crash was, in milliseconds. RanMS is how long the request had
	// been running or queued on the upstream, in milliseconds.
	AgeMS int64 `cbor:"5,keyasint,omitempty"`
	RanMS int64 `cbor:"7,keyasint,omitempty"`
	// IsCleared withdraws the suspicion for good: the request got a complete answer shortly
	// before the crash or at any time after it, or an operator released it.
	IsCleared bool `cbor:"6,keyasint,omitempty"`
}

// isOfPart reports whether the suspicion is of a part of a prompt.
func (s *Suspicion) isOfPart() bool { return s.Carrier != Fingerprint{} }

// quota returns whose limit the record of the suspicion counts towards.
func (s *Suspicion) quota() quota { return quota{workspace: s.Workspace, isOfParts: s.isOfPart()} }

// quota identifies a set of records with a common limit: the requests of a workspace, or all parts.
type quota struct {
	workspace string
	isOfParts bool
}

func (q quota) compare(o quota) int {
	switch {
	case q.isOfParts == o.isOfParts:
		return strings.Compare(q.workspace, o.workspace)
	case q.isOfParts:
		return 1
	}
	return -1
}

// Verdict tells how a request may be sent to upstreams.
type Verdict uint8

// The verdicts.
const (
	// Free means that no crash is attributed to the request.
	Free Verdict = iota
	// Suspect means that an upstream crashed while it ran the request. The request is still
	// sent, but to one upstream only.
	Suspect
	// Quarantined means that the request is sent to no upstream.
	Quarantined
)

// String returns the name of the verdict, as used in the administration API.
func (v Verdict) String() string { return [...]string{"free", "suspect", "held"}[v] }

// isValid reports whether a suspicion names an upstream, and each name is valid UTF-8 and not too long.
func (s *Suspicion) isValid() bool {
	for _, name := range []string{s.Incarnation.Upstream, s.Workspace, s.Service, s.Request} {
		if len(name) > maxNameBytes || !utf8.ValidString(name) {
			return false
		}
	}
	return s.Incarnation.Upstream != ""
}

func (s *Suspicion) ran() time.Duration { return time.Duration(max(s.RanMS, 0)) * time.Millisecond }

// compare orders incarnations by upstream, then by start.
func (i Incarnation) compare(o Incarnation) int {
	return cmp.Or(strings.Compare(i.Upstream, o.Upstream), cmp.Compare(i.StartedAt, o.StartedAt))
}

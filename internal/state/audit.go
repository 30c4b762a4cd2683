package state

import (
	"crypto/sha256"
	"slices"
	"sort"
	"sync"
)

// Action names what an audit record tells of.
type Action string

// The actions of the audit trail.
const (
	ActionSubmit       Action = "submit"
	ActionInit         Action = "init"
	ActionVoterAddress Action = "voter-address"
	// ActionConfiguration is a new routing configuration; Revision is its number.
	ActionConfiguration Action = "configuration"
	ActionMembership    Action = "membership"
)

// AuditRecord is one change, or one refused change, of the replicated state.
type AuditRecord struct {
	// Index is that of the log entry; no two records share one.
	Index uint64 `cbor:"1,keyasint"`
	// LogicalTime is the age of the tables.
	LogicalTime LogicalTime `cbor:"2,keyasint,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds, for display only; zero
	// where it is not known.
	At      int64  `cbor:"3,keyasint,omitempty"`
	Author  string `cbor:"4,keyasint,omitempty"`
	Action  Action `cbor:"5,keyasint"`
	Subject string `cbor:"6,keyasint,omitempty"`
	Outcome string `cbor:"7,keyasint"`
	Detail  string `cbor:"8,keyasint,omitempty"`
	// Revision, ChangeID and Digest are those of a submission: the revision that it
	// made where it was accepted, and the one in force where not; the digest is the
	// SHA-256 of the text.
	Revision uint64            `cbor:"9,keyasint,omitempty"`
	ChangeID string            `cbor:"10,keyasint,omitempty"`
	Digest   [sha256.Size]byte `cbor:"11,keyasint"`
}

// IsSubmissionOf reports whether the record is of a change of one of the documents.
func (r AuditRecord) IsSubmissionOf(documents []string) bool {
	return r.Action == ActionSubmit && slices.Contains(documents, r.Subject)
}

// AuditPage is a part of the audit trail.
type AuditPage struct {
	// Records has the newest first.
	Records []AuditRecord
	// Next is the value of before for the next page; zero where there is none.
	Next uint64
}

// audit is the trail of the newest records.
type audit struct {
	maxRecords int

	// mu guards all below.
	mu sync.RWMutex
	// ring holds the records; the oldest stands at start once it is full.
	ring  []AuditRecord
	start int
}

func (a *audit) init(n int) { a.maxRecords = n }

func (a *audit) add(r AuditRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ring) < a.maxRecords {
		a.ring = append(a.ring, r)
		return
	}
	a.ring[a.start] = r
	a.start = (a.start + 1) % len(a.ring)
}

// at returns the record at a position, the oldest at zero. The caller holds mu.
func (a *audit) at(i int) AuditRecord { return a.ring[(a.start+i)%len(a.ring)] }

// ordered returns the records, the oldest first. The caller holds mu.
func (a *audit) ordered() []AuditRecord {
	return slices.Concat(a.ring[a.start:], a.ring[:a.start])
}

// restore replaces the records by the newest of list. The caller holds mu.
func (a *audit) restore(list []AuditRecord) {
	a.ring = list[max(0, len(list)-a.maxRecords):]
	a.start = 0
}

// History returns at most limit of the records that keep is true of, with an index
// below before, the newest first; a before of zero starts at the newest of all, and
// a nil keep takes every record. keep must not call the Machine.
func (m *Machine) History(before uint64, limit int, keep func(AuditRecord) bool) AuditPage {
	a := &m.audit
	a.mu.RLock()
	defer a.mu.RUnlock()
	page := AuditPage{Records: []AuditRecord{}}
	for i := a.endBefore(before) - 1; i >= 0; i-- {
		r := a.at(i)
		if keep != nil && !keep(r) {
			continue
		}
		if len(page.Records) >= limit {
			page.setNext()
			return page
		}
		page.Records = append(page.Records, r)
	}
	return page
}

// setNext marks that records follow the last one of the page.
func (p *AuditPage) setNext() {
	if n := len(p.Records); n > 0 {
		p.Next = p.Records[n-1].Index
	}
}

// endBefore returns the position behind the records with an index below before. The
// caller holds mu.
func (a *audit) endBefore(before uint64) int {
	if before == 0 {
		return len(a.ring)
	}
	return sort.Search(len(a.ring), func(i int) bool { return a.at(i).Index >= before })
}

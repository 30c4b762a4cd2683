package state

import (
	"crypto/sha256"
	"slices"
	"sort"
	"sync"
)

// Action names the kind of change that an audit record describes.
type Action string

// The actions of the audit trail.
const (
	ActionSubmit       Action = "submit"
	ActionInit         Action = "init"
	ActionVoterAddress Action = "voter-address"
	// ActionConfiguration is a new routing configuration; the record's Revision is the
	// configuration's number.
	ActionConfiguration Action = "configuration"
	ActionMembership    Action = "membership"
	// ActionEvacuationStart and ActionEvacuationEnd start and end the evacuation of a data
	// centre, which is the record's Subject.
	ActionEvacuationStart Action = "evacuation-start"
	ActionEvacuationEnd   Action = "evacuation-end"
)

// AuditRecord describes one accepted or refused change of the replicated state.
type AuditRecord struct {
	// Index is the index of the log entry; no two records share one.
	Index uint64 `cbor:"1,keyasint"`
	// LogicalTime is the time of the logical clock at the change.
	LogicalTime LogicalTime `cbor:"2,keyasint,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds, for display only; zero
	// if it is not known.
	At      int64  `cbor:"3,keyasint,omitempty"`
	Author  string `cbor:"4,keyasint,omitempty"`
	Action  Action `cbor:"5,keyasint"`
	Subject string `cbor:"6,keyasint,omitempty"`
	Outcome string `cbor:"7,keyasint"`
	Detail  string `cbor:"8,keyasint,omitempty"`
	// Revision, ChangeID and Digest describe a submission. Revision is the new one if
	// the submission was accepted, and the document's current one otherwise. Digest is
	// the SHA-256 of the text.
	Revision uint64            `cbor:"9,keyasint,omitempty"`
	ChangeID string            `cbor:"10,keyasint,omitempty"`
	Digest   [sha256.Size]byte `cbor:"11,keyasint"`
}

// IsSubmissionOf reports whether the record is a submission of one of the named documents.
func (r AuditRecord) IsSubmissionOf(documents []string) bool {
	return r.Action == ActionSubmit && slices.Contains(documents, r.Subject)
}

// AuditPage is one page of the audit trail.
type AuditPage struct {
	// Records are sorted by index, the newest first.
	Records []AuditRecord
	// Next is the index to pass to History as before to get the next page; zero if there
	// is no next page.
	Next uint64
}

// audit is the audit trail, limited to the newest records.
type audit struct {
	maxRecords int

	// mu guards the fields below.
	mu sync.RWMutex
	// ring is a ring buffer of records. Once it is full, the oldest is at start.
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

// at returns the i-th record, counted from the oldest at zero. The caller holds mu.
func (a *audit) at(i int) AuditRecord { return a.ring[(a.start+i)%len(a.ring)] }

// ordered returns a copy of the records, the oldest first. The caller holds mu.
func (a *audit) ordered() []AuditRecord {
	return slices.Concat(a.ring[a.start:], a.ring[:a.start])
}

// restore replaces the records by the newest of list, which has the oldest first. The
// caller holds mu.
func (a *audit) restore(list []AuditRecord) {
	a.ring = list[max(0, len(list)-a.maxRecords):]
	a.start = 0
}

// History returns a page of the audit trail: at most limit records for which keep returns
// true, with an index below before, the newest first. Zero for before starts at the newest
// record, and a nil keep accepts every record. keep must not call the Machine, since the
// lock of the audit trail is held.
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

// setNext makes Next refer to the records after the last one of the page.
func (p *AuditPage) setNext() {
	if n := len(p.Records); n > 0 {
		p.Next = p.Records[n-1].Index
	}
}

// endBefore returns the number of records with an index below before, or of all records
// if before is zero. The caller holds mu.
func (a *audit) endBefore(before uint64) int {
	if before == 0 {
		return len(a.ring)
	}
	return sort.Search(len(a.ring), func(i int) bool { return a.at(i).Index >= before })
}

package state

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"sync"
)

// Document is one accepted document.
type Document struct {
	Name string `cbor:"1,keyasint"`
	// Revision is the index of the log entry that set the text. It never decreases.
	Revision uint64 `cbor:"2,keyasint"`
	Text     string `cbor:"3,keyasint,omitempty"`
	Author   string `cbor:"4,keyasint"`
	ChangeID string `cbor:"5,keyasint"`
	// AcceptedLogicalTime is the time of the logical clock when the text was accepted.
	AcceptedLogicalTime LogicalTime `cbor:"6,keyasint,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds, for display only.
	At int64 `cbor:"7,keyasint,omitempty"`
}

// changeKey identifies a change.
type changeKey struct {
	Name     string `cbor:"1,keyasint"`
	Author   string `cbor:"2,keyasint"`
	ChangeID string `cbor:"3,keyasint"`
}

// outcome is the result of a change's first submission, kept to answer a resend.
type outcome struct {
	Key         changeKey         `cbor:"1,keyasint"`
	Digest      [sha256.Size]byte `cbor:"2,keyasint"`
	Result      SubmitResult      `cbor:"3,keyasint"`
	LogicalTime LogicalTime       `cbor:"4,keyasint,omitempty"`
}

// documents is the table of documents and of the outcomes of recent changes.
type documents struct {
	maxOutcomes int
	retention   LogicalTime

	// mu guards the fields below.
	mu     sync.RWMutex
	byName map[string]Document
	// latestRevision is the newest revision of any document.
	latestRevision uint64
	// changed is closed and replaced whenever a document changes.
	changed  chan struct{}
	outcomes map[changeKey]*outcome
	// outcomeQueue holds the same outcomes, the oldest first.
	outcomeQueue []*outcome
}

func (d *documents) init(o Options) {
	d.maxOutcomes = o.Outcomes
	d.retention = o.OutcomeRetention
	d.changed = make(chan struct{})
	d.clear()
}

// clear empties the table. The caller holds mu or is the only user.
func (d *documents) clear() {
	d.byName = map[string]Document{}
	d.latestRevision = 0
	d.outcomes = map[changeKey]*outcome{}
	d.outcomeQueue = nil
}

// submit accepts or refuses a change. A change that was submitted before gets its first
// result again.
func (d *documents) submit(index uint64, now LogicalTime, c SubmitDocument) SubmitResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := changeKey{Name: c.Name, Author: c.Author, ChangeID: c.ChangeID}
	digest := sha256.Sum256([]byte(c.Text))
	if earlier, ok := d.outcomes[key]; ok {
		return d.repeatOutcome(earlier, digest)
	}
	result := d.submitNew(index, now, c)
	d.keepOutcome(&outcome{Key: key, Digest: digest, Result: result, LogicalTime: now})
	return result
}

// repeatOutcome returns the result for a change id that was submitted before: the first
// result, or SubmitChangeIDReused if the text differs. The caller holds mu.
func (d *documents) repeatOutcome(earlier *outcome, digest [sha256.Size]byte) SubmitResult {
	result := earlier.Result
	if earlier.Digest != digest {
		result = SubmitResult{Outcome: SubmitChangeIDReused, Revision: d.byName[earlier.Key.Name].Revision}
	}
	result.Repeated = true
	return result
}

// submitNew accepts a change whose base is the current revision, and refuses another one.
// The caller holds mu.
func (d *documents) submitNew(index uint64, now LogicalTime, c SubmitDocument) SubmitResult {
	current, exists := d.byName[c.Name]
	if c.BaseRevision != current.Revision {
		result := SubmitResult{Outcome: SubmitConflict, Revision: current.Revision}
		if exists {
			result.Winner = &Winner{Revision: current.Revision, Author: current.Author, ChangeID: current.ChangeID}
		}
		return result
	}
	d.byName[c.Name] = Document{
		Name:                c.Name,
		Revision:            index,
		Text:                c.Text,
		Author:              c.Author,
		ChangeID:            c.ChangeID,
		AcceptedLogicalTime: now,
		At:                  c.At,
	}
	d.latestRevision = index
	d.notify()
	return SubmitResult{Outcome: SubmitAccepted, Revision: index}
}

// notify wakes all goroutines that wait for a change. The caller holds mu.
func (d *documents) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// keepOutcome stores an outcome and deletes the oldest beyond the limit. The caller holds mu.
func (d *documents) keepOutcome(o *outcome) {
	d.outcomes[o.Key] = o
	d.outcomeQueue = append(d.outcomeQueue, o)
	for len(d.outcomeQueue) > d.maxOutcomes {
		d.dropOldest()
	}
}

// expire deletes the outcomes that are older than the retention.
func (d *documents) expire(now LogicalTime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.outcomeQueue) > 0 && d.outcomeQueue[0].LogicalTime+d.retention <= now {
		d.dropOldest()
	}
}

// dropOldest deletes the oldest outcome. The caller holds mu.
func (d *documents) dropOldest() {
	delete(d.outcomes, d.outcomeQueue[0].Key)
	d.outcomeQueue[0] = nil
	d.outcomeQueue = d.outcomeQueue[1:]
}

// sorted returns all documents in the order that compare defines. The caller holds mu.
func (d *documents) sorted(compare func(a, b Document) int) []Document {
	list := make([]Document, 0, len(d.byName))
	for _, doc := range d.byName {
		list = append(list, doc)
	}
	slices.SortFunc(list, compare)
	return list
}

func compareByName(a, b Document) int { return strings.Compare(a.Name, b.Name) }

func compareByRevision(a, b Document) int { return cmp.Compare(a.Revision, b.Revision) }

// Document returns a document by name, and whether it exists.
func (m *Machine) Document(name string) (Document, bool) {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	doc, ok := m.documents.byName[name]
	return doc, ok
}

// HasOutcome reports whether the outcome of a change is still kept. A resend of the change
// then gets that outcome.
func (m *Machine) HasOutcome(name, author, changeID string) bool {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	_, ok := m.documents.outcomes[changeKey{Name: name, Author: author, ChangeID: changeID}]
	return ok
}

// Documents returns all documents, sorted by name.
func (m *Machine) Documents() []Document {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	return m.documents.sorted(compareByName)
}

// DocumentsSince returns the documents with a revision above since, sorted by revision.
func (m *Machine) DocumentsSince(since uint64) []Document {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	list := m.documents.sorted(compareByRevision)
	first, _ := slices.BinarySearchFunc(list, since+1, func(d Document, revision uint64) int {
		return cmp.Compare(d.Revision, revision)
	})
	return list[first:]
}

// DocumentsChanged returns a channel that is closed when a document changes next. Call it
// before DocumentsSince, so that no change between the two calls is missed.
func (m *Machine) DocumentsChanged() <-chan struct{} {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	return m.documents.changed
}

// FencingToken returns the fencing token for orders to engines: the newest revision of any
// document. It never decreases.
func (m *Machine) FencingToken() uint64 {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	return m.documents.latestRevision
}

// describe returns the text of the outcome in the audit trail.
func (r SubmitResult) describe() string {
	if r.Repeated && r.Outcome != SubmitChangeIDReused {
		return r.Outcome.String() + " (repeated)"
	}
	return r.Outcome.String()
}

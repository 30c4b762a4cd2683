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
	// Revision is the log index at which the text was accepted. It never falls.
	Revision uint64 `cbor:"2,keyasint"`
	Text     string `cbor:"3,keyasint,omitempty"`
	Author   string `cbor:"4,keyasint"`
	ChangeID string `cbor:"5,keyasint"`
	// AcceptedLogicalTime is the age of the tables at acceptance.
	AcceptedLogicalTime LogicalTime `cbor:"6,keyasint,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds, for display only.
	At int64 `cbor:"7,keyasint,omitempty"`
}

// changeKey names a change.
type changeKey struct {
	Name     string `cbor:"1,keyasint"`
	Author   string `cbor:"2,keyasint"`
	ChangeID string `cbor:"3,keyasint"`
}

// outcome is what a change came to the first time.
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

	// mu guards all below.
	mu     sync.RWMutex
	byName map[string]Document
	// latestRevision is the newest revision.
	latestRevision uint64
	// changed is closed and replaced at each new revision.
	changed  chan struct{}
	outcomes map[changeKey]*outcome
	// outcomeQueue holds the outcomes, the oldest first.
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

// submit accepts a change, repeats its first outcome, or refuses it.
func (d *documents) submit(index uint64, age LogicalTime, c SubmitDocument) SubmitResult {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := changeKey{Name: c.Name, Author: c.Author, ChangeID: c.ChangeID}
	digest := sha256.Sum256([]byte(c.Text))
	if first, ok := d.outcomes[key]; ok {
		return d.repeatOutcome(first, digest)
	}
	result := d.submitNew(index, age, c)
	d.keepOutcome(&outcome{Key: key, Digest: digest, Result: result, LogicalTime: age})
	return result
}

// repeatOutcome answers a change that was sent before. The caller holds mu.
func (d *documents) repeatOutcome(first *outcome, digest [sha256.Size]byte) SubmitResult {
	result := first.Result
	if first.Digest != digest {
		result = SubmitResult{Outcome: SubmitChangeIDReused, Revision: d.byName[first.Key.Name].Revision}
	}
	result.Repeated = true
	return result
}

// submitNew answers a change that is new. The caller holds mu.
func (d *documents) submitNew(index uint64, age LogicalTime, c SubmitDocument) SubmitResult {
	current, exists := d.byName[c.Name]
	if c.Base != current.Revision {
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
		AcceptedLogicalTime: age,
		At:                  c.At,
	}
	d.latestRevision = index
	d.notify()
	return SubmitResult{Outcome: SubmitAccepted, Revision: index}
}

// notify wakes all that wait for a change. The caller holds mu.
func (d *documents) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// keepOutcome keeps an outcome and drops the oldest beyond the bound. The caller holds mu.
func (d *documents) keepOutcome(o *outcome) {
	d.outcomes[o.Key] = o
	d.outcomeQueue = append(d.outcomeQueue, o)
	for len(d.outcomeQueue) > d.maxOutcomes {
		d.dropOldest()
	}
}

// expire drops the outcomes that are older than the retention.
func (d *documents) expire(age LogicalTime) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.outcomeQueue) > 0 && d.outcomeQueue[0].LogicalTime+d.retention <= age {
		d.dropOldest()
	}
}

// dropOldest drops the first outcome of the queue. The caller holds mu.
func (d *documents) dropOldest() {
	delete(d.outcomes, d.outcomeQueue[0].Key)
	d.outcomeQueue[0] = nil
	d.outcomeQueue = d.outcomeQueue[1:]
}

// sorted returns all documents in an order. The caller holds mu.
func (d *documents) sorted(order func(a, b Document) int) []Document {
	list := make([]Document, 0, len(d.byName))
	for _, doc := range d.byName {
		list = append(list, doc)
	}
	slices.SortFunc(list, order)
	return list
}

func compareByName(a, b Document) int { return strings.Compare(a.Name, b.Name) }

func compareByRevision(a, b Document) int { return cmp.Compare(a.Revision, b.Revision) }

// Document returns the document of that name.
func (m *Machine) Document(name string) (Document, bool) {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	doc, ok := m.documents.byName[name]
	return doc, ok
}

// HasOutcome reports whether a change has come to an outcome that is still kept; a
// resend of it then gets that one.
func (m *Machine) HasOutcome(name, author, changeID string) bool {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	_, ok := m.documents.outcomes[changeKey{Name: name, Author: author, ChangeID: changeID}]
	return ok
}

// Documents returns all documents by name.
func (m *Machine) Documents() []Document {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	return m.documents.sorted(compareByName)
}

// DocumentsSince returns the documents with a revision above since, the lowest first.
func (m *Machine) DocumentsSince(since uint64) []Document {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	list := m.documents.sorted(compareByRevision)
	first, _ := slices.BinarySearchFunc(list, since+1, func(d Document, revision uint64) int {
		return cmp.Compare(d.Revision, revision)
	})
	return list[first:]
}

// DocumentsChanged returns a channel that is closed at the next new revision. Call it
// before Changes, so that no revision falls in between.
func (m *Machine) DocumentsChanged() <-chan struct{} {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	return m.documents.changed
}

// Fence returns the fencing number for orders to engines: the newest revision of
// any document. It never falls.
func (m *Machine) Fence() uint64 {
	m.documents.mu.RLock()
	defer m.documents.mu.RUnlock()
	return m.documents.latestRevision
}

// describe returns the outcome for the audit trail.
func (r SubmitResult) describe() string {
	if r.Repeated && r.Outcome != SubmitChangeIDReused {
		return r.Outcome.String() + " (repeated)"
	}
	return r.Outcome.String()
}

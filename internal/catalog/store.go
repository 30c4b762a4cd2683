// Package catalog holds the service documents that are in force on a host. They define the
// models, workspaces and tokens for which the host serves requests.
//
// The revision of a document is its index in the replicated log, and is sent along with it. A
// Store never replaces a document by a lower revision, so that a document does not revert if
// another host sends an old one.
package catalog

import (
	"cmp"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// maxChangesBytes bounds the total size of the texts in one wire.Changes.
const maxChangesBytes = 4 << 20

// stored is a document with its parsed form.
type stored struct {
	wire.Document
	parsed *document.Document
}

// Store holds the documents. Index returns them without a lock.
type Store struct {
	log     *slog.Logger
	refused metrics.Counter
	invalid metrics.Counter
	// inForce is the metric of the highest revision in force.
	inForce metrics.Gauge

	// mu guards the fields below.
	mu       sync.Mutex
	stored   map[string]stored
	revision uint64
	// unreadable holds, by document name, the revision that this build could not parse.
	unreadable map[string]uint64
	changed    chan struct{}

	index atomic.Pointer[Index]
}

// NewStore returns an empty Store.
func NewStore(log *slog.Logger, reg metrics.Registry) *Store {
	s := &Store{
		log:     log,
		refused: metrics.GetOrRegisterCounter("catalog.stale.refused", reg),
		invalid: metrics.GetOrRegisterCounter("catalog.unreadable", reg),
		inForce: metrics.GetOrRegisterGauge("catalog.revision", reg),
		stored:  make(map[string]stored),
		changed: make(chan struct{}),

		unreadable: make(map[string]uint64),
	}
	s.index.Store(newIndex(nil, 0))
	return s
}

// Merge stores the documents whose revision is higher than the stored one. It reports whether
// there were any.
func (s *Store) Merge(docs []wire.Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isChanged := false
	for _, d := range docs {
		isChanged = s.apply(d) || isChanged
	}
	if isChanged {
		s.publish()
	}
	return isChanged
}

// apply stores one document if its revision is higher. The caller holds mu.
func (s *Store) apply(d wire.Document) bool {
	old, ok := s.stored[d.Name]
	if ok && d.Revision <= old.Revision {
		if d.Revision < old.Revision {
			s.refused.Inc(1)
		}
		return false
	}
	parsed, err := document.Parse(d.Text)
	if err != nil {
		// A newer build has accepted this document. The last revision that this build
		// could parse remains in force, and InForce does not report the new one.
		s.invalid.Inc(1)
		s.unreadable[d.Name] = d.Revision
		s.log.Error("accepted document can't be read", "document", d.Name, "revision", d.Revision, "error", err)
		return false
	}
	s.stored[d.Name] = stored{Document: d, parsed: parsed}
	delete(s.unreadable, d.Name)
	s.revision = max(s.revision, d.Revision)
	s.log.Info("document in force", "document", d.Name, "revision", d.Revision)
	return true
}

// publish replaces the index and notifies those that wait for Changed. The caller holds mu.
func (s *Store) publish() {
	s.index.Store(newIndex(s.sorted(byName), s.revision))
	s.inForce.Update(int64(s.revision))
	close(s.changed)
	s.changed = make(chan struct{})
}

func byName(a, b stored) int { return strings.Compare(a.Name, b.Name) }

func byRevision(a, b stored) int { return cmp.Compare(a.Revision, b.Revision) }

// sorted returns the documents in the given order. The caller holds mu.
func (s *Store) sorted(order func(a, b stored) int) []stored {
	out := make([]stored, 0, len(s.stored))
	for _, h := range s.stored {
		out = append(out, h)
	}
	slices.SortFunc(out, order)
	return out
}

// Index returns the documents in force.
func (s *Store) Index() *Index { return s.index.Load() }

// Revision returns the highest revision of all documents in force.
func (s *Store) Revision() uint64 { return s.Index().revision }

// InForce returns the highest revision up to which all documents are in force. It is lower
// than the revision of any document that could not be parsed.
func (s *Store) InForce() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := s.revision
	for _, revision := range s.unreadable {
		in = min(in, revision-1)
	}
	return in
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Since returns the documents above a revision in ascending order, as many as fit into one
// message. isAll is false if there are more.
func (s *Store) Since(revision uint64) (c *wire.Changes, isAll bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c = &wire.Changes{Revision: max(revision, s.revision)}
	size := 0
	for _, h := range s.sorted(byRevision) {
		if h.Revision <= revision {
			continue
		}
		if size > 0 && size+len(h.Text) > maxChangesBytes {
			c.Revision = c.Documents[len(c.Documents)-1].Revision
			return c, false
		}
		size += len(h.Text)
		c.Documents = append(c.Documents, h.Document)
	}
	return c, true
}

// Package catalog holds the service documents that are in force on a host.
//
// A document carries its revision, its place in the replicated log, everywhere. A
// Store never takes a lower revision of a document than it has, so that an
// accepted document does not revert, whoever offers an old one.
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

// maxChangesBytes bounds the texts in one message.
const maxChangesBytes = 4 << 20

// stored is one document with its parsed form.
type stored struct {
	wire.Document
	parsed *document.Document
}

// Store holds documents. Readers use Index, which takes no lock.
type Store struct {
	log     *slog.Logger
	refused metrics.Counter
	invalid metrics.Counter
	// inForce shows the highest revision in force.
	inForce metrics.Gauge

	// mu guards the fields below.
	mu       sync.Mutex
	stored   map[string]stored
	revision uint64
	// unreadable holds the revisions that this build could not read, by document.
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

// Merge takes the documents that are newer than what the Store holds. It returns
// whether anything changed.
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

// apply holds one document. The caller holds mu.
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
		// Accepted by a newer build. What this build can't read it can't serve by:
		// the last form that it could read stays, the revision is not reported.
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

// publish makes the documents readable and wakes who waits. The caller holds mu.
func (s *Store) publish() {
	s.index.Store(newIndex(s.sorted(byName), s.revision))
	s.inForce.Update(int64(s.revision))
	close(s.changed)
	s.changed = make(chan struct{})
}

func byName(a, b stored) int { return strings.Compare(a.Name, b.Name) }

func byRevision(a, b stored) int { return cmp.Compare(a.Revision, b.Revision) }

// sorted returns the documents in an order. The caller holds mu.
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

// Revision returns the highest revision in force.
func (s *Store) Revision() uint64 { return s.Index().revision }

// InForce returns the revision up to which every document is in force: one that
// can't be read holds it back.
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

// Since returns the documents above a revision, in rising order, as many as one
// message should carry. isAll tells that none is left out.
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

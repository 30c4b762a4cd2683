package state

import (
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// snapshotVersion is the version of the encoding of snapshots.
const snapshotVersion = 1

// snapshot is the stored form of all tables. The order of every list is fixed, so that
// equal tables give equal bytes.
type snapshot struct {
	Version      uint8                `cbor:"1,keyasint"`
	AppliedIndex uint64               `cbor:"2,keyasint"`
	LogicalTime  LogicalTime          `cbor:"3,keyasint"`
	FencingToken uint64               `cbor:"4,keyasint"`
	Documents    []Document           `cbor:"5,keyasint"`
	Outcomes     []outcome            `cbor:"6,keyasint"`
	Claims       []claimSnapshot      `cbor:"7,keyasint"`
	ClusterID    string               `cbor:"8,keyasint"`
	Membership   consensus.Membership `cbor:"9,keyasint"`
	Addresses    []VoterAddress       `cbor:"10,keyasint"`
	Audit        []AuditRecord        `cbor:"11,keyasint"`
	// Retention is the claim retention; zero in snapshots of older builds.
	Retention LogicalTime `cbor:"12,keyasint,omitempty"`
	// CompactClaims are the encoded compact claims in the order of their compaction.
	CompactClaims []byte `cbor:"13,keyasint,omitempty"`
	// Configuration is zero in snapshots of older builds.
	Configuration Configuration `cbor:"14,keyasint,omitempty"`
	// Evacuations is nil if there never was an order, and in snapshots of older builds.
	Evacuations *Evacuations `cbor:"15,keyasint,omitempty"`
	// Retries holds the reserved retries, sorted by service.
	Retries []RetryTotals `cbor:"16,keyasint,omitempty"`
}

// Snapshot returns the encoded tables after the last applied log entry.
func (m *Machine) Snapshot() ([]byte, error) { return m.Capture()() }

// Capture copies the tables after the last applied log entry. Changes are blocked only
// during the copy; texts and response bodies are shared, not copied. The returned function
// sorts and encodes the copy, and may run concurrently with later changes.
func (m *Machine) Capture() (encode func() ([]byte, error)) {
	s := m.capture()
	return func() ([]byte, error) {
		sortClaimSnapshots(s.Claims)
		data, err := encoding.Marshal(s)
		return data, errors.Wrap(err, "encode tables")
	}
}

// capture copies the tables under their locks.
func (m *Machine) capture() snapshot {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	s := snapshot{Version: snapshotVersion, AppliedIndex: m.AppliedIndex(), LogicalTime: m.LogicalTime()}
	m.documents.capture(&s)
	s.Claims = m.claims.snapshotClaims()
	s.CompactClaims = m.claims.encodeCompactClaims()
	s.Retention = m.claims.currentRetention()
	m.cluster.capture(&s)
	s.Configuration = m.Configuration()
	if e := m.Evacuations(); len(e.All) > 0 {
		s.Evacuations = &e
	}
	s.Retries = m.retries.sorted()
	m.audit.capture(&s)
	return s
}

func (d *documents) capture(s *snapshot) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s.FencingToken = d.latestRevision
	s.Documents = d.sorted(compareByName)
	s.Outcomes = make([]outcome, 0, len(d.outcomeQueue))
	for _, o := range d.outcomeQueue {
		s.Outcomes = append(s.Outcomes, *o)
	}
}

func (c *cluster) capture(s *snapshot) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	s.ClusterID = c.id
	s.Membership = c.membership.Clone()
	s.Addresses = c.sortedAddresses()
}

func (a *audit) capture(s *snapshot) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	s.Audit = a.ordered()
}

// Restore replaces the tables by those of a snapshot. A snapshot that cannot be decoded,
// or that is older than the tables, is refused without effect.
func (m *Machine) Restore(data []byte) error {
	restore, err := m.PrepareRestore(data)
	if err != nil {
		return err
	}
	return restore()
}

// PrepareRestore decodes a snapshot and changes nothing. The function that it returns does the rest of Restore; it
// may be called once.
func (m *Machine) PrepareRestore(data []byte) (restore func() error, err error) {
	var s snapshot
	if err := decoding.Unmarshal(data, &s); err != nil {
		return nil, errors.Wrap(err, "decode tables")
	}
	if s.Version != snapshotVersion {
		return nil, errors.Errorf("unknown version %d of tables", s.Version)
	}
	if len(s.CompactClaims)%compactClaimBytes != 0 {
		return nil, errors.New("compact claims are not a whole number of records")
	}
	return func() error { return m.restore(&s) }, nil
}

func (m *Machine) restore(s *snapshot) error {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if s.AppliedIndex < m.AppliedIndex() {
		return errors.Errorf("snapshot of entry %d is older than entry %d", s.AppliedIndex, m.AppliedIndex())
	}
	m.lockTables()
	defer m.unlockTables()
	m.documents.restore(s.Documents, s.Outcomes, s.FencingToken)
	if s.Retention > 0 {
		m.claims.retention = s.Retention
	}
	m.claims.restore(s.Claims, s.CompactClaims)
	m.cluster.restore(s.ClusterID, s.Membership, s.Addresses)
	m.configuration.set(s.Configuration)
	m.evacuations.restore(evacuationsOf(s))
	m.retries.restore(s.Retries)
	m.audit.restore(s.Audit)
	m.logicalTime.Store(uint64(s.LogicalTime))
	m.appliedIndex.Store(s.AppliedIndex)
	return nil
}

// evacuationsOf returns the table of evacuations in a snapshot.
func evacuationsOf(s *snapshot) Evacuations {
	if s.Evacuations == nil {
		return Evacuations{}
	}
	return *s.Evacuations
}

// lockTables takes the locks of all tables in the order that the package comment states.
func (m *Machine) lockTables() {
	m.documents.mu.Lock()
	m.claims.mu.Lock()
	m.cluster.mu.Lock()
	m.configuration.mu.Lock()
	m.evacuations.mu.Lock()
	m.retries.mu.Lock()
	m.audit.mu.Lock()
}

func (m *Machine) unlockTables() {
	m.audit.mu.Unlock()
	m.retries.mu.Unlock()
	m.evacuations.mu.Unlock()
	m.configuration.mu.Unlock()
	m.cluster.mu.Unlock()
	m.claims.mu.Unlock()
	m.documents.mu.Unlock()
}

// restore replaces the table by that of a snapshot. The caller holds mu.
func (d *documents) restore(list []Document, outcomes []outcome, latestRevision uint64) {
	d.clear()
	for _, doc := range list {
		d.byName[doc.Name] = doc
	}
	for _, o := range outcomes {
		d.keepOutcome(&o)
	}
	d.latestRevision = latestRevision
	d.notify()
}

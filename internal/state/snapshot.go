package state

import (
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

const snapshotVersion = 1

// snapshot is the form of the tables in a snapshot. The order of every list is fixed,
// so equal tables give equal bytes.
type snapshot struct {
	Version      uint8                `cbor:"1,keyasint"`
	AppliedIndex uint64               `cbor:"2,keyasint"`
	LogicalTime  LogicalTime          `cbor:"3,keyasint"`
	Fence        uint64               `cbor:"4,keyasint"`
	Documents    []Document           `cbor:"5,keyasint"`
	Outcomes     []outcome            `cbor:"6,keyasint"`
	Claims       []claimSnapshot      `cbor:"7,keyasint"`
	ClusterID    string               `cbor:"8,keyasint"`
	Membership   consensus.Membership `cbor:"9,keyasint"`
	Addresses    []VoterAddress       `cbor:"10,keyasint"`
	Audit        []AuditRecord        `cbor:"11,keyasint"`
	// Retention is that of claims; zero in images of older builds.
	Retention LogicalTime `cbor:"12,keyasint,omitempty"`
	// CompactClaims are the settled claims, in the order in which they expire.
	CompactClaims []byte `cbor:"13,keyasint,omitempty"`
	// Configuration is zero in images of older builds.
	Configuration Configuration `cbor:"14,keyasint,omitempty"`
}

// Snapshot returns the tables after the last applied entry.
func (m *Machine) Snapshot() ([]byte, error) { return m.Capture()() }

// Capture sets the tables after the last applied entry aside. Changes wait only while
// they are copied; texts and answers are shared, not copied. What it returns sorts and
// encodes the copy, beside the changes that come after.
func (m *Machine) Capture() (encode func() ([]byte, error)) {
	i := m.capture()
	return func() ([]byte, error) {
		sortClaimSnapshots(i.Claims)
		data, err := encoding.Marshal(i)
		return data, errors.Wrap(err, "encode tables")
	}
}

// capture copies the tables.
func (m *Machine) capture() snapshot {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	i := snapshot{Version: snapshotVersion, AppliedIndex: m.AppliedIndex(), LogicalTime: m.LogicalTime()}
	m.documents.capture(&i)
	i.Claims = m.claims.snapshotClaims()
	i.CompactClaims = m.claims.encodeCompactClaims()
	i.Retention = m.claims.currentRetention()
	m.cluster.capture(&i)
	i.Configuration = m.Configuration()
	m.audit.capture(&i)
	return i
}

func (d *documents) capture(i *snapshot) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	i.Fence = d.latestRevision
	i.Documents = d.sorted(compareByName)
	i.Outcomes = make([]outcome, 0, len(d.outcomeQueue))
	for _, o := range d.outcomeQueue {
		i.Outcomes = append(i.Outcomes, *o)
	}
}

func (c *cluster) capture(i *snapshot) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	i.ClusterID = c.id
	i.Membership = c.membership.Clone()
	i.Addresses = c.sortedAddresses()
}

func (a *audit) capture(i *snapshot) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	i.Audit = a.ordered()
}

// Restore replaces the tables by those of a snapshot. A snapshot that cannot be
// read, or that is older than the tables, is refused without effect.
func (m *Machine) Restore(data []byte) error {
	var i snapshot
	if err := decoding.Unmarshal(data, &i); err != nil {
		return errors.Wrap(err, "decode tables")
	}
	if i.Version != snapshotVersion {
		return errors.Errorf("unknown version %d of tables", i.Version)
	}
	if len(i.CompactClaims)%compactClaimBytes != 0 {
		return errors.New("settled claims have a broken length")
	}
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if i.AppliedIndex < m.AppliedIndex() {
		return errors.Errorf("snapshot of entry %d is older than entry %d", i.AppliedIndex, m.AppliedIndex())
	}
	m.lockTables()
	defer m.unlockTables()
	m.documents.restore(i.Documents, i.Outcomes, i.Fence)
	if i.Retention > 0 {
		m.claims.retention = i.Retention
	}
	m.claims.restore(i.Claims, i.CompactClaims)
	m.cluster.restore(i.ClusterID, i.Membership, i.Addresses)
	m.configuration.set(i.Configuration)
	m.audit.restore(i.Audit)
	m.logicalTime.Store(uint64(i.LogicalTime))
	m.appliedIndex.Store(i.AppliedIndex)
	return nil
}

// lockTables takes the locks of all tables in their order.
func (m *Machine) lockTables() {
	m.documents.mu.Lock()
	m.claims.mu.Lock()
	m.cluster.mu.Lock()
	m.configuration.mu.Lock()
	m.audit.mu.Lock()
}

func (m *Machine) unlockTables() {
	m.audit.mu.Unlock()
	m.configuration.mu.Unlock()
	m.cluster.mu.Unlock()
	m.claims.mu.Unlock()
	m.documents.mu.Unlock()
}

// restore replaces the table. The caller holds mu.
func (d *documents) restore(list []Document, outcomes []outcome, fence uint64) {
	d.clear()
	for _, doc := range list {
		d.byName[doc.Name] = doc
	}
	for _, o := range outcomes {
		d.keepOutcome(&o)
	}
	d.latestRevision = fence
	d.notify()
}

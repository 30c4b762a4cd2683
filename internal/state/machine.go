// Package state holds the replicated tables: documents, claims of non-idempotent
// calls, the cluster's identity and addresses, and the audit trail.
//
// The tables are a function of the log alone. They read no clock: their age moves
// on by AdvanceAge commands, and all retention goes by that age. Options must be
// the same on every replica.
//
// # Locks
//
// Apply, ApplyMembership, Snapshot and Restore are serialised by Machine.applyMu.
// Each table has a lock of its own for concurrent readers. A goroutine that holds
// one lock may only take a later one in the order
//
//	Machine.applyMu, documents.mu, claims.mu, cluster.mu, configuration.mu, audit.mu
//
// Readers take one lock at a time. Nothing is called out to while a lock is held.
package state

import (
	"crypto/sha256"
	"sync"
	"sync/atomic"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// LogicalTime is the age of the tables in milliseconds. It moves only by AdvanceAge.
type LogicalTime uint64

// The bounds of one command.
const (
	// MaxAdvance is the most that one AdvanceAge counts.
	MaxAdvance LogicalTime = 60_000
	// MaxDeadline is the longest deadline of a claim.
	MaxDeadline LogicalTime = 3_600_000
	// MaxResponseBytes is the longest body that is recorded; a longer answer leaves
	// the verdict only.
	MaxResponseBytes = 64 << 10
	// MaxNameBytes bounds names, keys, authors and ids.
	MaxNameBytes = 512
	// MaxDocumentBytes bounds the text of a document.
	MaxDocumentBytes = 4 << 20
)

const day LogicalTime = 24 * 3_600_000

// The bounds of the retention that an AdvanceAge states.
const (
	MinRetention LogicalTime = 60_000
	MaxRetention             = 30 * day
)

// Options bound what the tables retain. Zero means the default.
type Options struct {
	// ClaimRetention is how long a claim is kept after it finished or passed its
	// deadline, until an AdvanceAge states another span; the default is 24 hours.
	ClaimRetention LogicalTime
	// Claims bounds open and retained claims altogether, and with them the memory;
	// the default is 150,000.
	Claims int
	// ClaimsPerWorkspace bounds those of one workspace, so that it cannot take the
	// room of the others; the default is 50,000.
	ClaimsPerWorkspace int
	// CompactAfter is how long after its end a call's claim is kept whole; then the
	// answer goes, and the verdict is kept for the retention. The default is 10 minutes.
	CompactAfter LogicalTime
	// CompactClaims bounds the claims kept in that short form; the default is 500,000.
	CompactClaims int
	// RecordedBytes bounds the recorded bodies altogether; an answer beyond it
	// leaves the verdict only. The default is 32 MiB.
	RecordedBytes int
	// OutcomeRetention is how long the outcome of a change is kept for a resend;
	// the default is 24 hours.
	OutcomeRetention LogicalTime
	// Outcomes bounds the outcomes kept; the default is 10,000.
	Outcomes int
	// AuditRecords bounds the audit trail; the default is 10,000.
	AuditRecords int
}

const (
	defaultClaims                         = 150_000
	defaultClaimsPerWorkspace             = 50_000
	defaultCompactAfter       LogicalTime = 600_000
	defaultCompactClaims                  = 500_000
	defaultRecordedBytes                  = 32 << 20
	defaultOutcomes                       = 10_000
	defaultAuditRecords                   = 10_000
)

func (o Options) withDefaults() Options {
	setDefault(&o.ClaimRetention, day)
	setDefault(&o.Claims, defaultClaims)
	setDefault(&o.ClaimsPerWorkspace, defaultClaimsPerWorkspace)
	setDefault(&o.CompactAfter, defaultCompactAfter)
	setDefault(&o.CompactClaims, defaultCompactClaims)
	setDefault(&o.RecordedBytes, defaultRecordedBytes)
	setDefault(&o.OutcomeRetention, day)
	setDefault(&o.Outcomes, defaultOutcomes)
	setDefault(&o.AuditRecords, defaultAuditRecords)
	return o
}

func setDefault[T LogicalTime | int](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Machine is the replicated tables.
type Machine struct {
	options Options

	// applyMu serialises all changes.
	applyMu sync.Mutex
	// appliedIndex and age change only under applyMu.
	appliedIndex atomic.Uint64
	logicalTime  atomic.Uint64

	documents     documents
	claims        claims
	cluster       cluster
	configuration configuration
	audit         audit
}

// New returns empty tables.
func New(o Options) *Machine {
	m := &Machine{options: o.withDefaults()}
	m.documents.init(m.options)
	m.claims.init(m.options)
	m.cluster.init()
	m.configuration.init()
	m.audit.init(m.options.AuditRecords)
	return m
}

// AppliedIndex returns the index of the last entry that was applied.
func (m *Machine) AppliedIndex() uint64 { return m.appliedIndex.Load() }

// LogicalTime returns the age of the tables.
func (m *Machine) LogicalTime() LogicalTime { return LogicalTime(m.logicalTime.Load()) }

// Apply applies the command of the log entry index. The result is the typed one
// of the command, or Rejected; it is the same on every replica.
func (m *Machine) Apply(index uint64, data []byte) any {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if index <= m.appliedIndex.Load() {
		return Rejected{Reason: ReasonAlreadyApplied}
	}
	defer m.appliedIndex.Store(index)
	command, rejected := decode(data)
	if rejected != nil {
		return *rejected
	}
	switch c := command.(type) {
	case Init:
		return m.applyInit(index, c)
	case AdvanceClock:
		return m.advanceClock(c)
	case SubmitDocument:
		return m.submitDocument(index, c)
	case ClaimBatch:
		return m.claims.claimBatch(c, m.LogicalTime())
	case FinishClaims:
		return m.claims.finishBatch(c, m.LogicalTime())
	case SetVoterAddress:
		return m.setVoterAddress(index, c)
	case PutConfiguration:
		return m.putConfiguration(index, c)
	}
	return Rejected{Reason: ReasonUnknownKind}
}

// ApplyMembership takes the membership of the log entry index into the tables.
func (m *Machine) ApplyMembership(index uint64, members consensus.Membership) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if index <= m.appliedIndex.Load() {
		return
	}
	defer m.appliedIndex.Store(index)
	m.cluster.setMembership(members)
	m.audit.add(AuditRecord{
		Index:       index,
		LogicalTime: m.LogicalTime(),
		Action:      ActionMembership,
		Outcome:     "applied",
		Detail:      describeMembership(members),
	})
}

// advanceClock moves the age on. The caller holds applyMu.
func (m *Machine) advanceClock(c AdvanceClock) ClockResult {
	age := m.LogicalTime() + min(LogicalTime(c.Elapsed), MaxAdvance)
	m.logicalTime.Store(uint64(age))
	m.claims.setRetention(LogicalTime(c.Retention))
	m.documents.expire(age)
	return ClockResult{LogicalTime: age, Expired: m.claims.expire(age)}
}

// submitDocument takes a document. The caller holds applyMu.
func (m *Machine) submitDocument(index uint64, c SubmitDocument) any {
	if !validNames(c.Name, c.ChangeID, c.Author) {
		return Rejected{Reason: ReasonInvalidName}
	}
	if len(c.Text) > MaxDocumentBytes {
		return Rejected{Reason: ReasonTooLarge}
	}
	result := m.documents.submit(index, m.LogicalTime(), c)
	m.audit.add(AuditRecord{
		Index:       index,
		LogicalTime: m.LogicalTime(),
		At:          c.At,
		Author:      c.Author,
		Action:      ActionSubmit,
		Subject:     c.Name,
		Outcome:     result.describe(),

		Revision: result.Revision,
		ChangeID: c.ChangeID,
		Digest:   sha256.Sum256([]byte(c.Text)),
	})
	return result
}

// applyInit names the cluster. The caller holds applyMu.
func (m *Machine) applyInit(index uint64, c Init) any {
	if !validNames(c.ClusterID) || len(c.Author) > MaxNameBytes {
		return Rejected{Reason: ReasonInvalidName}
	}
	result := m.cluster.setID(c.ClusterID)
	m.audit.add(AuditRecord{
		Index:       index,
		LogicalTime: m.LogicalTime(),
		At:          c.At,
		Author:      c.Author,
		Action:      ActionInit,
		Subject:     c.ClusterID,
		Outcome:     acceptedOrRefused(result.Accepted),
	})
	return result
}

// setVoterAddress takes an address. The caller holds applyMu.
func (m *Machine) setVoterAddress(index uint64, c SetVoterAddress) any {
	if !validNames(string(c.Replica), c.Host, c.Address) || len(c.Author) > MaxNameBytes {
		return Rejected{Reason: ReasonInvalidName}
	}
	result := m.cluster.setAddress(VoterAddress{Replica: c.Replica, Host: c.Host, Address: c.Address})
	if result.Changed {
		m.audit.add(AuditRecord{
			Index:       index,
			LogicalTime: m.LogicalTime(),
			At:          c.At,
			Author:      c.Author,
			Action:      ActionVoterAddress,
			Subject:     string(c.Replica),
			Outcome:     acceptedOrRefused(true),
			Detail:      c.Host + " at " + c.Address,
		})
	}
	return result
}

func acceptedOrRefused(accepted bool) string {
	if accepted {
		return "accepted"
	}
	return "refused"
}

func validNames(names ...string) bool {
	for _, n := range names {
		if n == "" || len(n) > MaxNameBytes {
			return false
		}
	}
	return true
}

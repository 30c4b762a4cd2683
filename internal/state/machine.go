// Package state implements the replicated tables: documents, claims of non-idempotent
// calls, the routing configuration, the evacuations of data centres, the cluster's id and
// addresses, reserved retries, and the audit trail.
//
// The contents of the tables depend on the log alone. The tables read no clock: they have
// a logical clock, which AdvanceClock commands advance, and everything expires by it.
// Options must be the same on every replica.
//
// # Locks
//
// Apply, ApplyMembership, Snapshot and Restore are serialised by Machine.applyMu.
// Each table has a lock of its own for concurrent readers. A goroutine that holds
// one lock may only take a lock that comes later in this order:
//
//	Machine.applyMu, documents.mu, claims.mu, cluster.mu, configuration.mu, evacuations.mu,
//	retries.mu, audit.mu
//
// Readers take one lock at a time. No code of other packages is called while a lock is
// held, except the filter of History.
package state

import (
	"crypto/sha256"
	"sync"
	"sync/atomic"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// LogicalTime is a time of the tables' logical clock, or a duration by it, in milliseconds.
// The clock starts at zero and advances only by AdvanceClock commands.
type LogicalTime uint64

// The limits of one command.
const (
	// MaxAdvance is the most by which one AdvanceClock advances the logical clock.
	MaxAdvance LogicalTime = 60_000
	// MaxDeadline is the longest time from a claim to its deadline.
	MaxDeadline LogicalTime = 3_600_000
	// MaxResponseBytes is the maximum length of a recorded response body. Of a longer
	// response only the verdict is recorded.
	MaxResponseBytes = 64 << 10
	// MaxNameBytes is the maximum length of names, keys, authors and ids.
	MaxNameBytes = 512
	// MaxDocumentBytes is the maximum length of a document's text.
	MaxDocumentBytes = 4 << 20
)

const day LogicalTime = 24 * 3_600_000

// The limits of the claim retention that an AdvanceClock sets.
const (
	MinRetention LogicalTime = 60_000
	MaxRetention             = 30 * day
)

// Options limits what the tables retain. Zero means the default.
type Options struct {
	// ClaimRetention is how long a claim is kept after it finished or passed its
	// deadline, until an AdvanceClock sets another duration. The default is 24 hours.
	ClaimRetention LogicalTime
	// Claims is the maximum number of uncompacted claims, open or finished, of all
	// workspaces. It limits the memory. The default is 150,000.
	Claims int
	// ClaimsPerWorkspace is the maximum number of uncompacted claims of one workspace,
	// so that none can use up the limit of all. The default is 50,000.
	ClaimsPerWorkspace int
	// CompactAfter is how long a finished claim is kept with its response. After that
	// the claim is compacted: only its verdict and hashes of its key and its request are
	// kept, for the rest of the retention. The default is 10 minutes.
	CompactAfter LogicalTime
	// CompactClaims is the maximum number of compact claims. The default is 500,000.
	CompactClaims int
	// RecordedBytes is the maximum total length of the recorded response bodies. Of a
	// response that would exceed it only the verdict is recorded. The default is 32 MiB.
	RecordedBytes int
	// OutcomeRetention is how long the outcome of a submission is kept to answer a
	// resend. The default is 24 hours.
	OutcomeRetention LogicalTime
	// Outcomes is the maximum number of outcomes kept. The default is 10,000.
	Outcomes int
	// AuditRecords is the maximum length of the audit trail. The default is 10,000.
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

// Machine is the replicated state machine that holds the tables.
type Machine struct {
	options Options

	// applyMu serialises all changes of the tables.
	applyMu sync.Mutex
	// appliedIndex and logicalTime change only while applyMu is held.
	appliedIndex atomic.Uint64
	logicalTime  atomic.Uint64

	documents     documents
	claims        claims
	cluster       cluster
	configuration configuration
	evacuations   evacuations
	retries       retries
	audit         audit
}

// New returns a Machine with empty tables.
func New(o Options) *Machine {
	m := &Machine{options: o.withDefaults()}
	m.documents.init(m.options)
	m.claims.init(m.options)
	m.cluster.init()
	m.configuration.init()
	m.evacuations.init()
	m.retries.init()
	m.audit.init(m.options.AuditRecords)
	return m
}

// AppliedIndex returns the index of the last log entry that was applied.
func (m *Machine) AppliedIndex() uint64 { return m.appliedIndex.Load() }

// LogicalTime returns the time of the logical clock.
func (m *Machine) LogicalTime() LogicalTime { return LogicalTime(m.logicalTime.Load()) }

// Apply applies the command of the log entry at index. It returns the result type of the
// command, or Rejected. The result is the same on every replica.
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
		return m.submit(index, c)
	case ClaimBatch:
		return m.claims.claimBatch(c, m.LogicalTime())
	case FinishClaims:
		return m.claims.finishBatch(c, m.LogicalTime())
	case SetVoterAddress:
		return m.setVoterAddress(index, c)
	case PutConfiguration:
		return m.putConfiguration(index, c)
	case SetEvacuation:
		return m.setEvacuation(index, c)
	case ReserveRetries:
		return m.reserveRetries(c)
	}
	return Rejected{Reason: ReasonUnknownKind}
}

// ApplyMembership stores the membership of the log entry at index.
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

// advanceClock advances the logical clock and deletes what has expired. The caller holds
// applyMu.
func (m *Machine) advanceClock(c AdvanceClock) ClockResult {
	now := m.LogicalTime() + min(LogicalTime(c.Elapsed), MaxAdvance)
	m.logicalTime.Store(uint64(now))
	m.claims.setRetention(LogicalTime(c.Retention))
	m.documents.expire(now)
	return ClockResult{LogicalTime: now, Expired: m.claims.expire(now)}
}

// submit applies a SubmitDocument and records it in the audit trail. The caller holds
// applyMu.
func (m *Machine) submit(index uint64, c SubmitDocument) any {
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

// applyInit applies an Init and records it in the audit trail. The caller holds applyMu.
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

// setVoterAddress applies a SetVoterAddress. Only a changed address is recorded in the
// audit trail. The caller holds applyMu.
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

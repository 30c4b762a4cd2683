package replica

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// encodedSnapshot is the result of encoding a snapshot.
type encodedSnapshot struct {
	snapshot consensus.Snapshot
	err      error
}

// run is the replica's loop. It ends on Close or on the first failure; it does not recover
// from failures.
func (r *Replica) run() {
	ticker := time.NewTicker(r.opts.Tick)
	defer ticker.Stop()
	defer close(r.done)
	go r.writer.run()
	defer r.finishWrites()
	for {
		stop, err := r.handleEvent(ticker.C)
		if err == nil && !stop {
			err = r.processReady()
		}
		if err != nil {
			r.err = err
			r.opts.Logger.Error("replica failed", "replica", string(r.opts.ID), "error", err)
		}
		if err != nil || stop {
			r.publishStatus()
			return
		}
	}
}

// finishWrites waits until what was handed to the writer is on disk.
func (r *Replica) finishWrites() {
	close(r.writer.stop)
	for d := range r.writer.done {
		if d.err != nil && r.err == nil {
			r.err = d.err
		}
	}
}

// handleEvent waits for one event. It also processes the events of the same kind that are
// queued behind it.
func (r *Replica) handleEvent(tick <-chan time.Time) (stop bool, err error) {
	select {
	case <-r.stop:
		return true, nil
	case <-tick:
		r.core.Tick()
		r.expireStaleProposals()
	case m := <-r.messages:
		err = r.stepQueuedMessages(m)
	case p := <-r.proposals:
		r.proposeQueued(p)
	case read := <-r.reads:
		r.enqueueReads(read)
	case f := <-r.loopCalls:
		f()
	case e := <-r.encodedSnapshots:
		r.encodingSnapshot = false
		r.saveSnapshot(e)
	case d := <-r.writer.done:
		err = r.handleDone(d)
	}
	return false, err
}

// handleDone tells the core what is on disk now.
func (r *Replica) handleDone(d doneJob) error {
	switch {
	case d.err != nil:
		return d.err
	case d.localSnapshot != nil:
		r.core.Compact(*d.localSnapshot)
		r.metrics.snapshots.Inc(1)
	default:
		r.core.Synced(d.write.Number)
	}
	return nil
}

// preparedSnapshot is a snapshot of the leader that was decoded. restore puts it into the state machine.
type preparedSnapshot struct {
	index, term uint64
	restore     func() error
}

// step passes a message to the core. A snapshot that can't be decoded is refused; the leader sends one again.
func (r *Replica) step(m consensus.Message) error {
	preparer, ok := r.opts.StateMachine.(RestorePreparer)
	if !ok || m.Type != consensus.MessageSnapshot || m.Snapshot == nil || m.Snapshot.Meta.Index <= r.appliedIndex {
		return r.core.Step(m)
	}
	restore, err := preparer.PrepareRestore(m.Snapshot.Data)
	if err != nil {
		r.refuseSnapshot(m, err)
		return nil
	}
	r.prepared = &preparedSnapshot{index: m.Snapshot.Meta.Index, term: m.Snapshot.Meta.Term, restore: restore}
	return r.core.Step(m)
}

// refusalLogInterval is the shortest time between two lines about refused snapshots.
const refusalLogInterval = 10 * time.Second

func (r *Replica) refuseSnapshot(m consensus.Message, err error) {
	r.metrics.snapshotsRefused.Inc(1)
	if time.Since(r.refusalLoggedAt) < refusalLogInterval {
		return
	}
	r.refusalLoggedAt = time.Now()
	r.opts.Logger.Error("snapshot can't be decoded and is refused", "replica", string(r.opts.ID), "from", string(m.From),
		"index", m.Snapshot.Meta.Index, "bytes", len(m.Snapshot.Data), "error", err.Error())
}

func (r *Replica) stepQueuedMessages(first consensus.Message) error {
	if err := r.step(first); err != nil {
		return err
	}
	for range maxQueuedMessages {
		select {
		case m := <-r.messages:
			if err := r.step(m); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// processReady does all outstanding work of the core.
func (r *Replica) processReady() error {
	defer func() { r.prepared = nil }()
	r.startReadRound()
	for r.core.HasReady() {
		if err := r.handleReady(r.core.Ready()); err != nil {
			return err
		}
		r.startReadRound()
	}
	return r.maybeSnapshot()
}

// handleReady does the work in the order that consensus.Ready requires. It does not wait for
// the disk.
func (r *Replica) handleReady(rd consensus.Ready) error {
	if !rd.Write.IsEmpty() {
		r.writer.add(writeJob{write: rd.Write})
	}
	for _, m := range rd.Messages {
		r.opts.Transport.Send(m.To, m)
	}
	if rd.SoftState != nil {
		r.updateRole(*rd.SoftState)
	}
	if s := rd.Write.Snapshot; s != nil {
		if err := r.restore(*s); err != nil {
			return err
		}
	}
	for _, e := range rd.CommittedEntries {
		if err := r.apply(e); err != nil {
			return err
		}
	}
	r.answerReads(rd.ReadStates)
	return nil
}

// updateRole publishes the role. When a leadership ends, its proposals become stale and its
// unanswered reads fail.
func (r *Replica) updateRole(now consensus.SoftState) {
	before := r.softState.Swap(&now)
	wasLeader := before.Role == consensus.Leader
	if wasLeader && (now.Role != consensus.Leader || now.Term != before.Term) {
		r.hasStaleProposals = true
		r.failReads(&r.activeReads, consensus.ErrNotLeader)
		r.failReads(&r.queuedReads, consensus.ErrNotLeader)
	}
	if now.Role == consensus.Leader {
		r.metrics.elections.Inc(1)
	}
	if now.Leader == "" && before.Leader != "" {
		r.metrics.leaderLosses.Inc(1)
	}
	if now.Leader != before.Leader {
		r.opts.Logger.Info("leader changed", "replica", string(r.opts.ID), "leader", string(now.Leader), "term", now.Term)
	}
}

func (r *Replica) apply(e consensus.Entry) error {
	var value any
	switch {
	case e.Kind == consensus.EntryMembership:
		if err := r.applyMembership(e); err != nil {
			return err
		}
	case len(e.Data) > 0:
		value = r.opts.StateMachine.Apply(e.Index, e.Data)
	}
	r.setAppliedIndex(e.Index)
	r.appliedBytes += len(e.Data)
	r.metrics.applied.Inc(1)
	r.resolveEntry(e, value)
	return nil
}

// setAppliedIndex records the index of the last entry processed. Entries that the state
// machine does not see, such as those without data, count too.
func (r *Replica) setAppliedIndex(index uint64) {
	r.appliedIndex = index
	r.publishedAppliedIndex.Store(index)
}

func (r *Replica) applyMembership(e consensus.Entry) error {
	machine, ok := r.opts.StateMachine.(MembershipObserver)
	if !ok {
		return nil
	}
	m, err := consensus.DecodeMembership(e.Data)
	if err != nil {
		return err
	}
	machine.ApplyMembership(e.Index, m)
	return nil
}

func (r *Replica) restore(s consensus.Snapshot) error {
	restore := func() error { return r.opts.StateMachine.Restore(s.Data) }
	if p := r.prepared; p != nil && p.index == s.Meta.Index && p.term == s.Meta.Term {
		restore = p.restore
	}
	if err := restore(); err != nil {
		return errors.Wrap(err, "restore the leader's snapshot")
	}
	r.setAppliedIndex(s.Meta.Index)
	r.snapshot, r.appliedBytes = s.Meta.Index, 0
	r.metrics.restores.Inc(1)
	r.resolveSnapshot(s.Meta)
	return nil
}

// maybeSnapshot starts a snapshot once enough entries were applied. Encoding runs on another goroutine, so
// that the loop goes on.
func (r *Replica) maybeSnapshot() error {
	isDue := r.appliedIndex >= r.snapshot+r.opts.SnapshotEntries || r.appliedBytes >= r.opts.SnapshotBytes
	if r.encodingSnapshot || !isDue {
		return nil
	}
	meta, err := r.core.SnapshotMeta(r.appliedIndex)
	if err != nil {
		return err
	}
	r.appliedBytes = 0
	r.encodingSnapshot = true
	encode := r.opts.StateMachine.Capture()
	go func() { r.encodedSnapshots <- encodeSnapshot(meta, encode, r.opts.MaxSnapshotBytes) }()
	return nil
}

func encodeSnapshot(meta consensus.SnapshotMeta, encode func() ([]byte, error), maxBytes int) encodedSnapshot {
	data, err := encode()
	if err == nil && len(data) > maxBytes {
		return encodedSnapshot{snapshot: consensus.Snapshot{Meta: meta}, err: errors.Errorf("snapshot of %d bytes is larger than %d", len(data), maxBytes)}
	}
	return encodedSnapshot{snapshot: consensus.Snapshot{Meta: meta, Data: data}, err: err}
}

// saveSnapshot hands a snapshot to the writer; once it is on disk, the log is compacted. If
// encoding failed or the snapshot is too large, the log is kept, and the next attempt follows after as many further entries.
func (r *Replica) saveSnapshot(e encodedSnapshot) {
	meta := e.snapshot.Meta
	if meta.Index <= r.snapshot {
		return
	}
	r.snapshot = meta.Index
	if e.err != nil {
		r.metrics.snapshotErrors.Inc(1)
		r.opts.Logger.Error("snapshot failed", "index", meta.Index, "error", e.err)
		return
	}
	r.writer.add(writeJob{localSnapshot: &e.snapshot})
}

// publishStatus makes the state visible to callers outside the loop.
func (r *Replica) publishStatus() {
	s := r.core.Status()
	r.softState.Store(&s.SoftState)
	r.lastStatus.Store(&s)
}

package replica

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// encodedSnapshot is what a capture came to.
type encodedSnapshot struct {
	snapshot consensus.Snapshot
	err      error
}

// run is the loop. It ends by Close or by the first failure, which is final.
func (r *Replica) run() {
	ticker := time.NewTicker(r.opts.Tick)
	defer ticker.Stop()
	defer close(r.done)
	for {
		stop, err := r.turn(ticker.C)
		if err == nil && !stop {
			err = r.work()
		}
		if err != nil {
			r.err = err
			r.opts.Logger.Error("replica failed", "replica", string(r.opts.ID), "error", err)
		}
		if err != nil || stop {
			r.publish()
			return
		}
	}
}

// turn waits for one event and takes all of its kind that wait.
func (r *Replica) turn(tick <-chan time.Time) (stop bool, err error) {
	select {
	case <-r.stop:
		return true, nil
	case <-tick:
		r.core.Tick()
		r.ageStale()
	case m := <-r.messages:
		err = r.step(m)
	case p := <-r.proposals:
		r.propose(p)
	case q := <-r.reads:
		r.collectReads(q)
	case f := <-r.controls:
		f()
	case e := <-r.encoded:
		r.capturing = false
		err = r.saveSnapshot(e)
	}
	return false, err
}

func (r *Replica) step(first consensus.Message) error {
	if err := r.core.Step(first); err != nil {
		return err
	}
	for range maxQueuedMessages {
		select {
		case m := <-r.messages:
			if err := r.core.Step(m); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// work does all that the core has ready.
func (r *Replica) work() error {
	r.startRound()
	for r.core.HasReady() {
		if err := r.handle(r.core.Ready()); err != nil {
			return err
		}
		r.core.Advance()
		r.startRound()
	}
	return r.maybeSnapshot()
}

// handle keeps the order that consensus.Ready demands: nothing leaves this
// replica and nothing is applied before it is synced.
func (r *Replica) handle(rd consensus.Ready) error {
	if err := r.persist(rd); err != nil {
		return err
	}
	for _, m := range rd.Messages {
		r.opts.Transport.Send(m.To, m)
	}
	if rd.SoftState != nil {
		r.changeRole(*rd.SoftState)
	}
	if rd.Snapshot != nil {
		if err := r.restore(*rd.Snapshot); err != nil {
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

func (r *Replica) persist(rd consensus.Ready) error {
	if rd.Snapshot != nil {
		if err := r.opts.Storage.SaveSnapshot(*rd.Snapshot); err != nil {
			return errors.Wrap(err, "save the leader's snapshot")
		}
	}
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	begun := time.Now()
	if err := r.opts.Storage.Append(rd.HardState, rd.Entries); err != nil {
		return errors.Wrap(err, "append to the log")
	}
	r.metrics.sync.UpdateSince(begun)
	return nil
}

// changeRole publishes the role. A leadership that ended leaves its proposals
// stale and its reads unanswered.
func (r *Replica) changeRole(now consensus.SoftState) {
	before := r.soft.Swap(&now)
	led := before.Role == consensus.Leader
	if led && (now.Role != consensus.Leader || now.Term != before.Term) {
		r.stale = true
		r.failReads(&r.asked, consensus.ErrNotLeader)
		r.failReads(&r.queued, consensus.ErrNotLeader)
	}
	if now.Role == consensus.Leader {
		r.metrics.elections.Inc(1)
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
	r.setApplied(e.Index)
	r.metrics.applied.Inc(1)
	r.resolve(e, value)
	return nil
}

// setApplied notes up to where the machine is. Entries without data count too.
func (r *Replica) setApplied(index uint64) {
	r.applied = index
	r.shownApplied.Store(index)
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
	if err := r.opts.StateMachine.Restore(s.Data); err != nil {
		return errors.Wrap(err, "restore the leader's snapshot")
	}
	r.setApplied(s.Meta.Index)
	r.snapshot = s.Meta.Index
	r.metrics.restores.Inc(1)
	r.resolveSnapshot(s.Meta)
	return nil
}

// maybeSnapshot begins a snapshot when enough was applied. A machine that can set
// a copy aside has it encoded beside the loop.
func (r *Replica) maybeSnapshot() error {
	if r.capturing || r.applied < r.snapshot+r.opts.SnapshotEntries {
		return nil
	}
	meta, err := r.core.SnapshotMeta(r.applied)
	if err != nil {
		return err
	}
	if c, ok := r.opts.StateMachine.(SnapshotCapturer); ok {
		r.capturing = true
		encode := c.Capture()
		go func() { r.encoded <- encodeSnapshot(meta, encode) }()
		return nil
	}
	return r.saveSnapshot(encodeSnapshot(meta, r.opts.StateMachine.Snapshot))
}

func encodeSnapshot(meta consensus.SnapshotMeta, encode func() ([]byte, error)) encodedSnapshot {
	data, err := encode()
	return encodedSnapshot{snapshot: consensus.Snapshot{Meta: meta, Data: data}, err: err}
}

// saveSnapshot persists a snapshot and shortens the log. A machine that could not
// encode keeps its log and is asked again after as many entries more.
func (r *Replica) saveSnapshot(e encodedSnapshot) error {
	meta := e.snapshot.Meta
	if meta.Index <= r.snapshot {
		return nil
	}
	r.snapshot = meta.Index
	if e.err != nil {
		r.metrics.snapshotErrors.Inc(1)
		r.opts.Logger.Error("snapshot failed", "index", meta.Index, "error", e.err)
		return nil
	}
	if err := r.opts.Storage.SaveSnapshot(e.snapshot); err != nil {
		return errors.Wrap(err, "save a snapshot")
	}
	r.core.Compact(e.snapshot)
	r.metrics.snapshots.Inc(1)
	return nil
}

// publish makes the state known to callers off the loop.
func (r *Replica) publish() {
	s := r.core.Status()
	r.soft.Store(&s.SoftState)
	r.last.Store(&s)
}

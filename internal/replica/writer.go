package replica

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

const (
	// maxMergedBytes bounds the data that is written with one sync. A single write may be
	// larger.
	maxMergedBytes = 8 << 20
	// slowWrite is how long a write may take before it is logged.
	slowWrite = 500 * time.Millisecond
)

// writeJob is one thing to do on the disk: a write of the core, or a snapshot of the local
// state machine.
type writeJob struct {
	write         consensus.Write
	localSnapshot *consensus.Snapshot
}

// doneJob is a job that is on disk, or the first failure.
type doneJob struct {
	writeJob
	err error
}

// writer does the replica's disk work in order on its own goroutine, so that a slow disk holds
// up neither the core's clock nor its heartbeats. Writes that wait behind a sync share the
// next one.
type writer struct {
	r *Replica
	// wake has room for one value and gets one when jobs has grown.
	wake chan struct{}
	stop chan struct{}
	// done gets the jobs that are on disk, in order. The loop must receive until it is closed.
	done chan doneJob

	// mu guards jobs. It is not held while a job is done.
	mu   sync.Mutex
	jobs []writeJob
}

func newWriter(r *Replica) *writer {
	return &writer{r: r, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan doneJob)}
}

// add queues a job. It does not block. The core bounds how much is outstanding.
func (w *writer) add(j writeJob) {
	w.mu.Lock()
	w.jobs = append(w.jobs, j)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run does jobs until stop is closed and none is left, or until one fails.
func (w *writer) run() {
	defer close(w.done)
	for {
		j, ok := w.next()
		if !ok {
			select {
			case <-w.wake:
				continue
			case <-w.stop:
			}
			if j, ok = w.next(); !ok {
				return
			}
		}
		err := w.do(j)
		w.done <- doneJob{j, err}
		if err != nil {
			return
		}
	}
}

// next removes the oldest job, merged with those behind it where one sync can do them all.
func (w *writer) next() (writeJob, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.jobs) == 0 {
		return writeJob{}, false
	}
	j, merged := w.jobs[0], 1
	size := j.write.Size()
	for ; merged < len(w.jobs) && j.localSnapshot == nil && w.jobs[merged].localSnapshot == nil; merged++ {
		following := w.jobs[merged].write
		size += following.Size()
		both, ok := j.write.Merge(following)
		if !ok || size > maxMergedBytes {
			break
		}
		j.write = both
	}
	w.jobs = append([]writeJob(nil), w.jobs[merged:]...)
	return j, true
}

// do writes and syncs a job, and then sends the messages that depend on it.
func (w *writer) do(j writeJob) error {
	started := time.Now()
	if err := w.persist(j); err != nil {
		return err
	}
	if took := time.Since(started); took >= slowWrite {
		w.r.metrics.slowSyncs.Inc(1)
		w.r.opts.Logger.Warn("disk is slow", "replica", string(w.r.opts.ID), "took_ms", took.Milliseconds())
	}
	for _, m := range j.write.Promises {
		w.r.opts.Transport.Send(m.To, m)
	}
	return nil
}

func (w *writer) persist(j writeJob) error {
	storage := w.r.opts.Storage
	if j.localSnapshot != nil {
		return errors.Wrap(storage.SaveSnapshot(*j.localSnapshot), "save a snapshot")
	}
	if j.write.Snapshot != nil {
		if err := storage.SaveSnapshot(*j.write.Snapshot); err != nil {
			return errors.Wrap(err, "save the leader's snapshot")
		}
	}
	if j.write.HardState == nil && len(j.write.Entries) == 0 {
		return nil
	}
	started := time.Now()
	if err := storage.Append(j.write.HardState, j.write.Entries); err != nil {
		return errors.Wrap(err, "append to the log")
	}
	w.r.metrics.sync.UpdateSince(started)
	return nil
}

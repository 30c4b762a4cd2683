package control

import (
	"context"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// joins holds the replicas that this host, as the leader, adds to the membership: one for each host at
// most. A replica that takes long, or is gone, holds up no other host.
type joins struct {
	// mu guards running.
	mu      sync.Mutex
	running map[string]*join
}

// join is one replica that is being added.
type join struct {
	id     consensus.ReplicaID
	began  time.Time
	cancel context.CancelFunc
}

// begin registers a replica. The context ends when release is called, after joinTimeout, or when another
// replica of the same host takes the place of this one. That is possible once isGone says so of the one
// that has it; otherwise begin returns an error.
func (j *joins) begin(id consensus.ReplicaID, isGone func(consensus.ReplicaID) bool) (ctx context.Context, release func(), err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	host := hostOf(id)
	if other := j.running[host]; other != nil {
		if other.id == id || !isGone(other.id) {
			return nil, nil, verdict.New(verdict.NotRun, verdict.CodeInProgress, "replica "+string(other.id)+" of the same host is joining").WithRetryAfter(joinInterval)
		}
		other.cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	this := &join{id: id, began: time.Now(), cancel: cancel}
	if j.running == nil {
		j.running = make(map[string]*join)
	}
	j.running[host] = this
	return ctx, func() { j.end(host, this) }, nil
}

// isRunning reports whether a replica is being added.
func (j *joins) isRunning(id consensus.ReplicaID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	this := j.running[hostOf(id)]
	return this != nil && this.id == id
}

func (j *joins) end(host string, ended *join) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ended.cancel()
	if j.running[host] == ended {
		delete(j.running, host)
	}
}

// isLate reports whether a replica has been catching up for longer than catchUpTime.
func (j *joins) isLate(id consensus.ReplicaID, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	this := j.running[hostOf(id)]
	return this != nil && this.id == id && now.Sub(this.began) > catchUpTime
}

// count returns how many replicas are being added.
func (j *joins) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.running)
}

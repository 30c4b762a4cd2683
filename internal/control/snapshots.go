package control

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/peer"
)

// snapshotWatchTime is how long after a snapshot was sent the end of its session counts as its loss. It is
// longer than a leader waits for the acknowledgement.
const snapshotWatchTime = 10 * time.Second

// onSnapshotLost makes the transport call f, on another goroutine than that of Send, for the replica
// of a snapshot that may not arrive. Without that, a leader waits for the acknowledgement until its
// timeout, and the replica that joins is no voter for that much longer.
func (t *Transport) onSnapshotLost(f func(consensus.ReplicaID)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshotLost = f
}

// drop counts a message that was not sent, and reports it if it is a snapshot that is still wanted.
func (t *Transport) drop(to consensus.ReplicaID, isWantedSnapshot bool) {
	t.countDropped(to)
	if isWantedSnapshot {
		t.reportLostSnapshot(to)
	}
}

// watchSnapshot reports a snapshot that was sent as lost if its session ends soon. If it has arrived
// nevertheless, the report has no effect.
func (t *Transport) watchSnapshot(s *peer.Session, to consensus.ReplicaID) {
	timer := time.NewTimer(snapshotWatchTime)
	defer timer.Stop()
	select {
	case <-s.Done():
		t.reportLostSnapshot(to)
	case <-timer.C:
	}
}

func (t *Transport) reportLostSnapshot(to consensus.ReplicaID) {
	t.mu.Lock()
	report := t.snapshotLost
	t.mu.Unlock()
	if report != nil {
		go report(to)
	}
}

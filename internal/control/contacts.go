package control

import (
	"maps"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// contact is what this host has received from another replica. The times are zero if nothing was received
// since the start of the process.
type contact struct {
	hasSession bool
	// received is when the last message of any kind was received, consensus when the last one of the
	// consensus was. A session whose pings arrive says nothing about the messages of the consensus.
	received, consensus time.Time
}

// contacts holds the contact with each replica. Its zero value is empty.
type contacts struct {
	// mu guards byReplica.
	mu        sync.Mutex
	byReplica map[consensus.ReplicaID]contact
}

// consensusReceived records a message of the consensus.
func (c *contacts) consensusReceived(id consensus.ReplicaID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReplica == nil {
		c.byReplica = make(map[consensus.ReplicaID]contact)
	}
	known := c.byReplica[id]
	known.consensus = now
	known.received = now
	c.byReplica[id] = known
}

// update records for how long the peers of the live sessions have been silent, and returns all contacts. A
// replica without a session is forgotten unless isMember reports it as one.
func (c *contacts) update(silences map[consensus.ReplicaID]time.Duration, isMember func(consensus.ReplicaID) bool, now time.Time) map[consensus.ReplicaID]contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	updated := make(map[consensus.ReplicaID]contact, len(silences))
	for id, known := range c.byReplica {
		known.hasSession = false
		if isMember(id) {
			updated[id] = known
		}
	}
	for id, silence := range silences {
		known := c.byReplica[id]
		known.hasSession = true
		if received := now.Add(-silence); received.After(known.received) {
			known.received = received
		}
		updated[id] = known
	}
	c.byReplica = updated
	return maps.Clone(updated)
}

// silences returns for how long nothing was received from each replica with a live session, by the session
// on which something was received last.
func (t *Transport) silences() map[consensus.ReplicaID]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[consensus.ReplicaID]time.Duration, len(t.sessions))
	for id, sessions := range t.sessions {
		for _, s := range sessions {
			if silence, isKnown := out[id]; s.Alive() && (!isKnown || s.SilentFor() < silence) {
				out[id] = s.SilentFor()
			}
		}
	}
	return out
}

package consensus

// MessageType is the kind of request or response that a Message is.
type MessageType uint8

// Types of messages between replicas.
const (
	MessageAppend MessageType = iota + 1
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessagePreVote
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageSnapshot
	MessageTimeoutNow
)

// Message is what one replica sends to another. Messages may be lost, duplicated, delayed
// and reordered. The entries and the snapshot of a message share memory with the sender's
// log and must not be changed.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From ReplicaID   `cbor:"2,keyasint"`
	To   ReplicaID   `cbor:"3,keyasint"`
	// Term is the sender's term. In a pre-vote and in the response that grants it, Term is
	// the term of the election that would follow.
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm identify a log entry: in an append the one before Entries, in a
	// vote request the candidate's last one. In a response to an append, Index is the
	// last entry that is acknowledged, or the Index of the append that is rejected.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// HintIndex and HintTerm come with a rejected append. They identify the last entry up
	// to which the logs may agree.
	HintIndex uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm  uint64 `cbor:"11,keyasint,omitempty"`
	// Round is the number of the heartbeat round within a leader's term.
	Round    uint64    `cbor:"12,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"13,keyasint,omitempty"`
	// Transfer marks a vote request that the current leader asked for by a leadership
	// transfer. It is processed even though that leader was heard recently.
	Transfer bool `cbor:"14,keyasint,omitempty"`
}

// isPromise reports whether the sender must not forget, after a crash, what the message says:
// that it has entries or a snapshot, that it votes for a replica, or that it voted for itself.
// Heartbeats, appends of a leader and the responses to heartbeats say nothing of the sender's
// disk, and neither does a pre-vote.
func (m Message) isPromise() bool {
	switch m.Type {
	case MessageAppendResponse, MessageVoteResponse:
		return !m.Reject
	case MessageVote:
		return true
	}
	return false
}

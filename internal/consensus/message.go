package consensus

// MessageType tells what a Message asks or answers.
type MessageType uint8

// The types of messages between replicas.
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

// Message is what one replica sends another. Messages may be lost, repeated,
// late and out of order. The entries and the snapshot of a message are shared
// with the sender's log: nobody may change them.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From ReplicaID   `cbor:"2,keyasint"`
	To   ReplicaID   `cbor:"3,keyasint"`
	// Term is the sender's term; for a pre-vote the term it would campaign in.
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm place the entry before Entries, the candidate's last
	// entry, or the last entry that an acceptance covers. A rejection repeats the
	// rejected Index.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// HintIndex and HintTerm come with a rejected append: the last place at which
	// the logs may still agree.
	HintIndex uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm  uint64 `cbor:"11,keyasint,omitempty"`
	// Round numbers the heartbeat rounds of a leader's term.
	Round    uint64    `cbor:"12,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"13,keyasint,omitempty"`
	// Transfer marks a vote that the present leader asked for; it is granted
	// although that leader was just heard.
	Transfer bool `cbor:"14,keyasint,omitempty"`
}

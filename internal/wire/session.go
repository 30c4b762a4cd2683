package wire

// Kinds of the session messages.
const (
	KindHello   Kind = 1
	KindPing    Kind = 2
	KindFailure Kind = 3
	KindAck     Kind = 4
	KindGoodbye Kind = 5
)

// Hello is the first message of both ends of a session.
type Hello struct {
	Host       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Address is the peer listener of the sender, "ip:port".
	Address string `cbor:"3,keyasint"`
	// Incarnation differs between two starts of the same host's process.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Replica is the consensus.ReplicaID of a control host, else empty.
	Replica string `cbor:"5,keyasint,omitempty"`
	// PingMS is the longest time that the sender leaves a live session silent.
	PingMS uint64 `cbor:"6,keyasint,omitempty"`
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Ping keeps a quiet session alive.
type Ping struct {
	// WantsEcho asks for a Ping in return.
	WantsEcho bool `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

// Ack is the reply to a call that has nothing else to say.
type Ack struct{}

// Kind implements Message.
func (*Ack) Kind() Kind { return KindAck }

// Goodbye tells that the sender is about to end the session and takes no new calls or
// dispatches. The other end answers with one that IsAnswer; what it had asked before comes
// before that.
type Goodbye struct {
	IsReply bool `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*Goodbye) Kind() Kind { return KindGoodbye }

// Failure is the reply to a call that failed; it carries a verdict.Error.
type Failure struct {
	Verdict      uint8  `cbor:"1,keyasint"`
	Code         string `cbor:"2,keyasint"`
	Text         string `cbor:"3,keyasint"`
	RetryAfterMS uint64 `cbor:"4,keyasint,omitempty"`
	// Leader is the address of the control host to ask instead, if known.
	Leader string `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*Failure) Kind() Kind { return KindFailure }

package wire

// Kinds of the session messages.
const (
	KindHello   Kind = 1
	KindPing    Kind = 2
	KindFailure Kind = 3
	KindAck     Kind = 4
	KindGoodbye Kind = 5
)

// Hello is the first message that each end of a session sends.
type Hello struct {
	Host       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Address is the address of the sender's peer listener, "ip:port".
	Address string `cbor:"3,keyasint"`
	// Incarnation identifies one run of the host's process. Each start has another one.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Replica is the consensus.ReplicaID of a control host; empty on other hosts.
	Replica string `cbor:"5,keyasint,omitempty"`
	// PingMS is the longest time that the sender sends nothing on a live session, in
	// milliseconds.
	PingMS uint64 `cbor:"6,keyasint,omitempty"`
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Ping keeps an idle session alive and probes the peer.
type Ping struct {
	// WantsEcho asks the receiver to send a Ping back.
	WantsEcho bool `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

// Ack is the reply to a call that returns no data.
type Ack struct{}

// Kind implements Message.
func (*Ack) Kind() Kind { return KindAck }

// Goodbye announces that the sender is about to close the session and accepts no new calls
// or dispatches. The receiver replies with a Goodbye that has IsReply set, after all calls
// and dispatches that it had already queued.
type Goodbye struct {
	IsReply bool `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*Goodbye) Kind() Kind { return KindGoodbye }

// Failure is the reply to a call that failed. It represents a verdict.Error.
type Failure struct {
	Verdict      uint8  `cbor:"1,keyasint"`
	Code         string `cbor:"2,keyasint"`
	Text         string `cbor:"3,keyasint"`
	RetryAfterMS uint64 `cbor:"4,keyasint,omitempty"`
	// Leader is the address of the current leader, which should be called instead; empty if
	// unknown.
	Leader string `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*Failure) Kind() Kind { return KindFailure }

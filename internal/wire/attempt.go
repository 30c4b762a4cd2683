package wire

// Kinds of the messages that carry a request and its response.
const (
	KindDispatch Kind = 20
	KindCancel   Kind = 21
	KindCredit   Kind = 22
	KindHead     Kind = 23
	KindFrame    Kind = 24
	KindEnd      Kind = 25
	KindRefused  Kind = 26
)

// AttemptID identifies one attempt to run a request. It is random, so that no two attempts
// share an ID. Each message of an attempt contains it.
type AttemptID [16]byte

// Field is one header field of a request or response.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Claim identifies the committed claim of a non-idempotent call, by the workspace and its
// idempotency key. A claim is the right of one attempt to dispatch the call.
type Claim struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
}

// Dispatch sends one attempt to the agent of an upstream. The agent responds with Refused,
// or with Head, any number of Frames, and End.
type Dispatch struct {
	Attempt   AttemptID `cbor:"1,keyasint"`
	RequestID string    `cbor:"2,keyasint"`
	Workspace string    `cbor:"3,keyasint"`
	// Upstream is the name of the intended upstream, and Incarnation the announced
	// incarnation of its agent. An agent with another incarnation refuses the attempt.
	Upstream    string  `cbor:"4,keyasint"`
	Incarnation uint64  `cbor:"5,keyasint"`
	Method      string  `cbor:"6,keyasint"`
	Path        string  `cbor:"7,keyasint"`
	Header      []Field `cbor:"8,keyasint,omitempty"`
	Body        []byte  `cbor:"9,keyasint,omitempty"`
	// Claim is set for a non-idempotent call. The agent accepts only one dispatch with the
	// same claim.
	Claim *Claim `cbor:"10,keyasint,omitempty"`
	// TimeoutMS is the time left until the caller's deadline, in milliseconds.
	TimeoutMS uint64 `cbor:"11,keyasint"`
	// Urgency is the priority as defined by RFC 9218: 0 is the most urgent, 7 the least.
	Urgency uint8 `cbor:"12,keyasint"`
	// FlowWindow is how many body bytes the agent may send before the first Credit.
	FlowWindow uint64 `cbor:"13,keyasint"`
	// Offset asks a resumable engine to continue after that many body bytes.
	Offset uint64 `cbor:"14,keyasint,omitempty"`
	// MayTurnAway asks an agent whose upstream is busy to refuse the attempt instead of letting it
	// wait, because the entry host can try another upstream.
	MayTurnAway bool `cbor:"15,keyasint,omitempty"`
}

// Kind implements Message.
func (*Dispatch) Kind() Kind { return KindDispatch }

// Cancel ends an attempt whose response is no longer needed.
type Cancel struct {
	Attempt AttemptID `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Credit allows the agent to send Bytes more body bytes.
type Credit struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Bytes   uint64    `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Credit) Kind() Kind { return KindCredit }

// Head carries the status and header fields of a response. It counts as sequence number 0,
// before the Frames.
type Head struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Status  int       `cbor:"2,keyasint"`
	Header  []Field   `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*Head) Kind() Kind { return KindHead }

// Frame carries a piece of a response body. Sequence numbers start at 1 and have no gaps.
type Frame struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
	Data    []byte    `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*Frame) Kind() Kind { return KindFrame }

// End is the last message of a response. A response without it is incomplete.
type End struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// Frames and Bytes are the numbers of frames and body bytes sent.
	Frames uint64 `cbor:"2,keyasint"`
	Bytes  uint64 `cbor:"3,keyasint"`
	// Digest is the xxHash64 of all body bytes in order.
	Digest uint64 `cbor:"4,keyasint"`
	// Incomplete is set if the upstream's response ended early; Text describes the error.
	Incomplete bool   `cbor:"5,keyasint,omitempty"`
	Text       string `cbor:"6,keyasint,omitempty"`
	// UpstreamCrashedAt is set if the upstream's process ended during the attempt. It is
	// when the agent detected that, in Unix milliseconds, and the same for all attempts that
	// were interrupted by the same crash.
	UpstreamCrashedAt int64 `cbor:"7,keyasint,omitempty"`
}

// Kind implements Message.
func (*End) Kind() Kind { return KindEnd }

// Refused reports that the agent did not start the attempt, or that the attempt failed
// before a response arrived. Verdict, a verdict.Verdict, tells whether the request may
// have run.
type Refused struct {
	Attempt      AttemptID `cbor:"1,keyasint"`
	Verdict      uint8     `cbor:"2,keyasint"`
	Code         string    `cbor:"3,keyasint"`
	Text         string    `cbor:"4,keyasint,omitempty"`
	RetryAfterMS uint64    `cbor:"5,keyasint,omitempty"`
	// UpstreamCrashedAt has the same meaning as in End.
	UpstreamCrashedAt int64 `cbor:"6,keyasint,omitempty"`
}

// Kind implements Message.
func (*Refused) Kind() Kind { return KindRefused }

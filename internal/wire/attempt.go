package wire

// Kinds of the messages that carry a request and its answer.
const (
	KindDispatch Kind = 20
	KindCancel   Kind = 21
	KindCredit   Kind = 22
	KindHead     Kind = 23
	KindFrame    Kind = 24
	KindEnd      Kind = 25
	KindRefused  Kind = 26
)

// AttemptID names one attempt to run one request. It is random, so that two
// attempts never share it; each message of an attempt carries it.
type AttemptID [16]byte

// Field is one header field of a request or an answer.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Claim ties a dispatch to the committed claim of a non-idempotent call.
type Claim struct {
	Workspace string `cbor:"1,keyasint"`
	Key       string `cbor:"2,keyasint"`
}

// Dispatch hands one attempt to the agent of an upstream. The agent answers with
// Refused, or with Head, Frames and End. After Refused nothing has run.
type Dispatch struct {
	Attempt   AttemptID `cbor:"1,keyasint"`
	RequestID string    `cbor:"2,keyasint"`
	Workspace string    `cbor:"3,keyasint"`
	// Upstream is the name of the upstream that is meant, and Incarnation the start
	// of its agent that was announced; another start refuses.
	Upstream    string  `cbor:"4,keyasint"`
	Incarnation uint64  `cbor:"5,keyasint"`
	Method      string  `cbor:"6,keyasint"`
	Path        string  `cbor:"7,keyasint"`
	Header      []Field `cbor:"8,keyasint,omitempty"`
	Body        []byte  `cbor:"9,keyasint,omitempty"`
	// Claim is set for a non-idempotent call: the agent takes one dispatch of it.
	Claim *Claim `cbor:"10,keyasint,omitempty"`
	// TimeoutMS is what is left until the caller's deadline.
	TimeoutMS uint64 `cbor:"11,keyasint"`
	// Urgency follows RFC 9218: 0 is the most urgent, 7 the least.
	Urgency uint8 `cbor:"12,keyasint"`
	// Window is how many body bytes the agent may send before the first Credit.
	Window uint64 `cbor:"13,keyasint"`
	// Offset asks a resumable engine to go on after that many body bytes.
	Offset uint64 `cbor:"14,keyasint,omitempty"`
}

// Kind implements Message.
func (*Dispatch) Kind() Kind { return KindDispatch }

// Cancel ends an attempt whose answer nobody waits for any more.
type Cancel struct {
	Attempt AttemptID `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Credit allows the agent to send that many more body bytes.
type Credit struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Bytes   uint64    `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Credit) Kind() Kind { return KindCredit }

// Head carries the status and header fields of an answer. Its sequence number is 0.
type Head struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Status  int       `cbor:"2,keyasint"`
	Header  []Field   `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*Head) Kind() Kind { return KindHead }

// Frame carries a piece of an answer's body. Sequence numbers start at 1 and
// have no gaps.
type Frame struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint"`
	Data    []byte    `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*Frame) Kind() Kind { return KindFrame }

// End is the last message of an answer. An answer without it is not whole.
type End struct {
	Attempt AttemptID `cbor:"1,keyasint"`
	// Frames and Bytes count what was sent before.
	Frames uint64 `cbor:"2,keyasint"`
	Bytes  uint64 `cbor:"3,keyasint"`
	// Digest is the xxHash64 of all body bytes in order.
	Digest uint64 `cbor:"4,keyasint"`
	// Incomplete tells that the upstream's answer ended before its end; Text says how.
	Incomplete bool   `cbor:"5,keyasint,omitempty"`
	Text       string `cbor:"6,keyasint,omitempty"`
	// UpstreamCrashedAt is set where the upstream ended under the attempt: when the agent found
	// it gone, in Unix milliseconds. It is the same for all attempts that one end broke off.
	UpstreamCrashedAt int64 `cbor:"7,keyasint,omitempty"`
}

// Kind implements Message.
func (*End) Kind() Kind { return KindEnd }

// Refused tells that the agent did not start the attempt, or that it failed
// before an answer came; Verdict says which.
type Refused struct {
	Attempt      AttemptID `cbor:"1,keyasint"`
	Verdict      uint8     `cbor:"2,keyasint"`
	Code         string    `cbor:"3,keyasint"`
	Text         string    `cbor:"4,keyasint,omitempty"`
	RetryAfterMS uint64    `cbor:"5,keyasint,omitempty"`
	// UpstreamCrashedAt is as in End.
	UpstreamCrashedAt int64 `cbor:"6,keyasint,omitempty"`
}

// Kind implements Message.
func (*Refused) Kind() Kind { return KindRefused }

// Package wire defines all messages between the processes of the system and their encoding,
// which is CBOR in a versioned envelope.
//
// No other package defines such messages. Field keys are small integers; the meaning of a
// key must never change. Deadlines are sent as durations in milliseconds, because the
// processes have no common clock.
package wire

import (
	"reflect"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Version is the version of the envelope and the messages that this build supports.
const Version = 1

const (
	// MaxMessageBytes is the maximum size of an encoded message.
	MaxMessageBytes = 16 << 20
	// maxNestedLevels is how deep arrays and maps in a message may be nested, maxElements how many
	// elements or pairs each of them may have.
	maxNestedLevels = 16
	maxElements     = 1 << 20
)

// Kind identifies the type of a message in its envelope.
type Kind uint16

// IsAttempt reports whether messages of the kind belong to an attempt, that is, carry
// requests and responses. All other messages are control traffic.
func (k Kind) IsAttempt() bool { return k >= KindDispatch && k <= KindRefused }

// IsKnown reports whether this build has a message type of the kind.
func (k Kind) IsKnown() bool { _, ok := types[k]; return ok }

// String returns the name of the message type, or the number of an unknown kind.
func (k Kind) String() string {
	if t, ok := types[k]; ok {
		return t.Name()
	}
	return strconv.Itoa(int(k))
}

// Message is implemented by all types that can be sent in an envelope.
type Message interface {
	// Kind returns the kind that identifies the message type.
	Kind() Kind
}

// Envelope wraps an encoded message. Call is the ID of the call that the message makes or, if
// IsReply is set, replies to; zero means that no reply is expected.
type Envelope struct {
	Version uint8  `cbor:"1,keyasint"`
	Kind    Kind   `cbor:"2,keyasint"`
	Call    uint64 `cbor:"3,keyasint,omitempty"`
	IsReply bool   `cbor:"4,keyasint,omitempty"`
	// Body is the encoded message.
	Body cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// VersionError reports that the other process uses another version.
type VersionError struct{ Got uint8 }

// Error implements error. The text contains both versions.
func (e *VersionError) Error() string {
	return errors.Errorf("wire: message version %d, this build speaks %d", e.Got, Version).Error()
}

// KindError reports an unknown message kind.
type KindError struct{ Got Kind }

// Error implements error. The text contains the kind.
func (e *KindError) Error() string {
	return errors.Errorf("wire: unknown message kind %d", e.Got).Error()
}

// BodyError reports that a message can't be decoded although its envelope can.
type BodyError struct {
	Kind Kind
	Err  error
}

// Error implements error.
func (e *BodyError) Error() string {
	return "wire: decode message of kind " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the error of the decoder.
func (e *BodyError) Unwrap() error { return e.Err }

// EncodeError reports that a message was not encoded, because no receiver of this build could decode it.
type EncodeError struct {
	Kind Kind
	Err  error
}

// Error implements error.
func (e *EncodeError) Error() string {
	return "wire: encode message of kind " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the reason.
func (e *EncodeError) Unwrap() error { return e.Err }

var (
	encMode = newEncMode()
	decMode = newDecMode(cbor.UTF8RejectInvalid)
	// opaqueDecMode accepts text that is not valid UTF-8.
	opaqueDecMode = newDecMode(cbor.UTF8DecodeInvalid)
	types         = typesByKind()
)

func newEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newDecMode(text cbor.UTF8Mode) cbor.DecMode {
	opts := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		UTF8:             text,
	}
	m, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes v in the deterministic form used on the wire.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes data into v. It enforces the limits of the wire format on nesting and on
// the number of elements.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }

// Encode encodes m in an envelope. If call is zero, no reply is expected. With a *PartialError the data can be
// sent; any other error is an *EncodeError.
func Encode(call uint64, isReply bool, m Message) ([]byte, error) {
	body, partial := marshalBody(m)
	if partial != nil && !IsPartial(partial) {
		return nil, &EncodeError{Kind: m.Kind(), Err: partial}
	}
	data, err := Marshal(Envelope{Version: Version, Kind: m.Kind(), Call: call, IsReply: isReply, Body: body})
	if err == nil {
		err = checkLimits(data, body)
	}
	if err != nil {
		return nil, &EncodeError{Kind: m.Kind(), Err: err}
	}
	return data, partial
}

// marshalBody encodes a message. Those of attempts carry what callers and upstreams have sent, which need not be
// valid text, and are decoded accordingly.
func marshalBody(m Message) ([]byte, error) {
	if m.Kind().IsAttempt() {
		return Marshal(m)
	}
	return MarshalValid(m)
}

// checkLimits returns an error if a receiver would refuse an encoded message because of its size or its
// number of elements.
func checkLimits(data, body []byte) error {
	if len(data) > MaxMessageBytes {
		return errors.Errorf("%d bytes, at most %d are allowed", len(data), MaxMessageBytes)
	}
	if len(body) <= maxElements {
		// Each element takes a byte or more.
		return nil
	}
	return decMode.Wellformed(body)
}

// Decode decodes an envelope and the message in it. The message is a pointer to its type. The error is
// a *VersionError, or that of an envelope that can't be decoded; a *KindError or a *BodyError, with a valid
// envelope; or a *PartialError, with a message that can be used.
func Decode(data []byte) (Envelope, Message, error) {
	var e Envelope
	malformed := Unmarshal(data, &e)
	if malformed != nil {
		var ok bool
		if e, ok = decodeHead(data); !ok {
			return e, nil, errors.Wrap(malformed, "wire: decode envelope")
		}
	}
	if e.Version != Version {
		return e, nil, &VersionError{Got: e.Version}
	}
	t, ok := types[e.Kind]
	if !ok {
		return e, nil, &KindError{Got: e.Kind}
	}
	if malformed != nil {
		return e, nil, &BodyError{Kind: e.Kind, Err: malformed}
	}
	m := reflect.New(t).Interface().(Message)
	err := unmarshalBody(e.Body, m)
	if err != nil && !IsPartial(err) {
		return e, nil, &BodyError{Kind: e.Kind, Err: err}
	}
	return e, m, err
}

// bodyKey is the key of Envelope.Body, the last one that Encode writes.
const bodyKey = 5

// decodeHead decodes the fields before the body. It serves envelopes that can't be decoded because of their
// body: one that is truncated, or that exceeds the limits on nesting or the number of elements.
func decodeHead(data []byte) (e Envelope, ok bool) {
	const emptyMap = 0xa0
	if len(data) == 0 || data[0] <= emptyMap || data[0] > emptyMap+bodyKey {
		return e, false
	}
	others := data[0] - emptyMap - 1
	rest := data[1:]
	for range 2 * others {
		var item cbor.RawMessage
		var err error
		if rest, err = decMode.UnmarshalFirst(rest, &item); err != nil {
			return e, false
		}
	}
	if len(rest) == 0 || rest[0] != bodyKey {
		return e, false
	}
	head := append([]byte{emptyMap + others}, data[1:len(data)-len(rest)]...)
	return e, Unmarshal(head, &e) == nil
}

// unmarshalBody is the counterpart of marshalBody.
func unmarshalBody(body []byte, m Message) error {
	if m.Kind().IsAttempt() {
		return opaqueDecMode.Unmarshal(body, m)
	}
	return UnmarshalValid(body, m)
}

func typesByKind() map[Kind]reflect.Type {
	all := []Message{
		&Hello{}, &Ping{}, &Failure{}, &Goodbye{},
		&Dispatch{}, &Cancel{}, &Credit{}, &Head{}, &Frame{}, &End{}, &Refused{},
		&Announce{}, &AnnounceAck{}, &Subscribe{}, &Delta{}, &DigestNotice{},
		&Demand{}, &Grant{},
		&Consensus{}, &Propose{}, &Proposed{}, &Watch{}, &Changes{}, &InForce{},
		&ClaimRequest{}, &ClaimReply{}, &FinishRequest{}, &FinishReply{},
		&OrderQuery{}, &OrderAnswer{}, &MapRequest{}, &MapReply{}, &GroupQuery{}, &GroupAnswer{}, &ExpertLoad{}, &ExpertsWanted{}, &Join{}, &Ack{},
		&StatusQuery{}, &StatusAnswer{}, &ReadQuery{}, &ReadAnswer{}, &ConsensusPart{},
		&Attach{}, &Upstreams{}, &ConfigurationNotice{}, &ConfigurationQuery{}, &ConfigurationAnswer{}, &Hosts{}, &EngineLoad{}, &EngineLoads{},
		&Suspicions{}, &Notices{}, &TokenRequest{}, &Tokens{}, &Evacuations{},
		&RetryRequest{}, &Retries{},
	}
	m := make(map[Kind]reflect.Type, len(all))
	for _, msg := range all {
		m[msg.Kind()] = reflect.TypeOf(msg).Elem()
	}
	return m
}

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

// MaxMessageBytes is the maximum size of an encoded message.
const MaxMessageBytes = 16 << 20

// Kind identifies the type of a message in its envelope.
type Kind uint16

// IsAttempt reports whether messages of the kind belong to an attempt, that is, carry
// requests and responses. All other messages are control traffic.
func (k Kind) IsAttempt() bool { return k >= KindDispatch && k <= KindRefused }

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

var (
	encMode = newEncMode()
	decMode = newDecMode()
	types   = typesByKind()
)

func newEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newDecMode() cbor.DecMode {
	opts := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
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

// Encode encodes m in an envelope. If call is zero, no reply is expected.
func Encode(call uint64, isReply bool, m Message) ([]byte, error) {
	body, err := Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "wire: encode message")
	}
	return Marshal(Envelope{Version: Version, Kind: m.Kind(), Call: call, IsReply: isReply, Body: body})
}

// Decode decodes an envelope and the message in it. The message is a pointer to its type.
// The error is a *VersionError, a *KindError, or that of a malformed encoding.
func Decode(data []byte) (Envelope, Message, error) {
	var e Envelope
	if err := Unmarshal(data, &e); err != nil {
		return e, nil, errors.Wrap(err, "wire: decode envelope")
	}
	if e.Version != Version {
		return e, nil, &VersionError{Got: e.Version}
	}
	t, ok := types[e.Kind]
	if !ok {
		return e, nil, &KindError{Got: e.Kind}
	}
	m := reflect.New(t).Interface().(Message)
	if err := Unmarshal(e.Body, m); err != nil {
		return e, nil, errors.Wrapf(err, "wire: decode message of kind %d", e.Kind)
	}
	return e, m, nil
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

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

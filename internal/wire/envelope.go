package wire

import (
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

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

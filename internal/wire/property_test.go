package wire

import (
	"bytes"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/test/arbitrary"
)

// appendEnvelope returns an envelope with a body that Marshal may refuse to encode.
func appendEnvelope(t require.TestingT, kind Kind, call uint64, body []byte) []byte {
	data := []byte{0xa4}
	for i, field := range []uint64{Version, uint64(kind), call} {
		encoded, err := Marshal(field)
		require.NoError(t, err)
		data = append(append(data, byte(i+1)), encoded...)
	}
	return append(append(data, 5), body...)
}

// drawMessage returns a message of any kind.
func drawMessage(t *rapid.T, isHostile bool) Message {
	m := reflect.New(types[drawKind(t)])
	arbitrary.Value(t, m.Elem(), isHostile)
	return m.Interface().(Message)
}

func drawKind(t *rapid.T) Kind {
	var kinds []Kind
	for k := range types {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return rapid.SampledFrom(kinds).Draw(t, "kind")
}

// isReadable reports whether this build decodes what it encodes a value to.
func isReadable(t require.TestingT, v reflect.Value) bool {
	data, err := Marshal(v.Interface())
	require.NoError(t, err)
	return Unmarshal(data, reflect.New(v.Type()).Interface()) == nil
}

// withoutUnreadable returns the message that a receiver should get, and how many elements are left out. It is
// nil if the message must be refused.
func withoutUnreadable(t require.TestingT, m Message) (Message, int) {
	if m.Kind().IsAttempt() {
		return m, 0
	}
	from := reflect.ValueOf(m).Elem()
	to := reflect.New(from.Type())
	to.Elem().Set(from)
	leftOut := 0
	for i := range from.NumField() {
		if _, ok := from.Type().Field(i).Tag.Lookup(independentTag); !ok {
			continue
		}
		kept := reflect.MakeSlice(from.Field(i).Type(), 0, from.Field(i).Len())
		for j := range from.Field(i).Len() {
			if isReadable(t, from.Field(i).Index(j)) {
				kept = reflect.Append(kept, from.Field(i).Index(j))
				continue
			}
			leftOut++
		}
		to.Elem().Field(i).Set(kept)
	}
	if !isReadable(t, to.Elem()) {
		return nil, 0
	}
	return to.Interface().(Message), leftOut
}

func requireSame(t require.TestingT, want, got any) {
	if !arbitrary.IsSame(reflect.ValueOf(want), reflect.ValueOf(got)) {
		require.Equal(t, want, got)
		require.Fail(t, "the values differ")
	}
}

// Guards against messages that are encoded although a receiver of this build refuses them, or decodes them to
// something else, and against records that are lost beside one that can't be encoded.
func TestPropertyEncodedMessagesDecodeToTheSame(t *testing.T) { rapid.Check(t, encodeProperty) }

func FuzzEncode(f *testing.F) { f.Fuzz(rapid.MakeFuzz(encodeProperty)) }

func encodeProperty(t *rapid.T) {
	m := drawMessage(t, rapid.Bool().Draw(t, "isHostile"))
	before, err := Marshal(m)
	require.NoError(t, err)
	call, isReply := rapid.Uint64().Draw(t, "call"), rapid.Bool().Draw(t, "isReply")
	want, leftOut := withoutUnreadable(t, m)
	data, err := Encode(call, isReply, m)
	after, afterErr := Marshal(m)
	require.NoError(t, afterErr)
	require.Equal(t, before, after, "the message itself is unchanged")
	if want == nil {
		var refused *EncodeError
		require.ErrorAs(t, err, &refused)
		require.Nil(t, data)
		return
	}
	if leftOut == 0 {
		require.NoError(t, err)
	} else {
		var partial *PartialError
		require.ErrorAs(t, err, &partial)
		require.Equal(t, leftOut, partial.Count)
	}
	env, got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, Envelope{Version: Version, Kind: m.Kind(), Call: call, IsReply: isReply, Body: env.Body}, env)
	requireSame(t, want, got)
}

// damagedBody returns a value, which may be malformed, that is to replace one that a message or one of its fields holds.
func damagedBody(t *rapid.T, data []byte) cbor.RawMessage {
	var pairs map[uint64]cbor.RawMessage
	if err := Unmarshal(data, &pairs); err != nil || len(pairs) == 0 {
		pairs = nil
	}
	var keys []uint64
	for k := range pairs {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	kinds := []string{"other type", "tag", "unknown key", "too deep", "truncated"}
	if pairs != nil {
		kinds = append(kinds, "field", "two equal keys", "indefinite length")
	}
	switch rapid.SampledFrom(kinds).Draw(t, "damage") {
	case "tag":
		return append(cbor.RawMessage{0xd9, 0xd9, 0xf7}, data...)
	case "too deep":
		return append(bytes.Repeat([]byte{0x81}, 2*maxNestedLevels), data...)
	case "truncated":
		return data[:rapid.IntRange(0, len(data)).Draw(t, "length")]
	case "unknown key":
		return appendPairs(pairs, keys, "\xba\x00\x00\x00", uint64(1<<40), cbor.RawMessage{0x62, 0xff, 0xfe}, 1)
	case "field":
		key := rapid.SampledFrom(keys).Draw(t, "key")
		pairs[key] = damagedBody(t, pairs[key])
		return appendPairs(pairs, keys, "\xba\x00\x00\x00", 0, nil, 0)
	case "two equal keys":
		return appendPairs(pairs, keys, "\xba\x00\x00\x00", keys[0], pairs[keys[0]], 1)
	case "indefinite length":
		return append(appendPairs(pairs, keys, "\xbf", 0, nil, -1), 0xff)
	}
	return rapid.SampledFrom([]cbor.RawMessage{
		{0xf6}, {0xf7}, {0xf5}, {0x01}, {0x3b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {0x40}, {0x60}, {0x62, 0xff, 0xfe},
		{0x80}, {0xa0}, {0x9f, 0xff}, {0xbf, 0xff}, {0x7f, 0x61, 0x80, 0xff}, {0xf9, 0x7e, 0x00}, {0xc1, 0x61, 0x41},
		{0x81, 0x81, 0x81, 0xa0}, {0xa2, 0x01, 0x60, 0x01, 0x60}, {0xa1, 0x62, 0xff, 0xfe, 0x01}, {0xc2, 0x49, 1, 0, 0, 0, 0, 0, 0, 0, 0},
	}).Draw(t, "value")
}

// appendPairs returns an encoded map. Of a head of four bytes, the last one is the number of pairs less one
// more pair; more is how many there are, or -1 if the head does not say.
func appendPairs(pairs map[uint64]cbor.RawMessage, keys []uint64, head string, key uint64, value cbor.RawMessage, more int) cbor.RawMessage {
	out := cbor.RawMessage(head)
	if more >= 0 {
		out = append(out, byte(len(keys)+more))
	}
	for _, k := range keys {
		encoded, _ := Marshal(k)
		out = append(append(out, encoded...), pairs[k]...)
	}
	if more > 0 {
		encoded, _ := Marshal(key)
		out = append(append(out, encoded...), value...)
	}
	return out
}

// Guards against a body that costs more than its message: one that is taken for a broken envelope,
// or that is decoded to what can't be encoded.
func TestPropertyDamagedMessageCostsOnlyItself(t *testing.T) { rapid.Check(t, damageProperty) }

func FuzzDamage(f *testing.F) { f.Fuzz(rapid.MakeFuzz(damageProperty)) }

func damageProperty(t *rapid.T) {
	m := drawMessage(t, true)
	body, err := Marshal(m)
	require.NoError(t, err)
	requireDecodesAlone(t, m.Kind(), damagedBody(t, body))
}

// requireDecodesAlone requires that a body is decoded to what can be encoded again, or refused as a body.
func requireDecodesAlone(t require.TestingT, kind Kind, body []byte) {
	env, got, err := Decode(appendEnvelope(t, kind, 7, body))
	require.Equal(t, kind, env.Kind, "%v", err)
	require.Equal(t, uint64(7), env.Call)
	if err != nil && !IsPartial(err) {
		var bodyErr *BodyError
		var kindErr *KindError
		require.True(t, errors.As(err, &bodyErr) || errors.As(err, &kindErr), "%v", err)
		require.Nil(t, got)
		return
	}
	data, err := Encode(7, false, got)
	require.NoError(t, err)
	_, again, err := Decode(data)
	require.NoError(t, err)
	requireSame(t, got, again)
}

// Guards against good records that are lost, or change places, beside bad ones of any sort in a list.
func TestPropertyListLosesExactlyItsBadRecords(t *testing.T) { rapid.Check(t, listProperty) }

func FuzzList(f *testing.F) { f.Fuzz(rapid.MakeFuzz(listProperty)) }

func listProperty(t *rapid.T) {
	var lists []Kind
	for k, typ := range types {
		if hasIndependentLists(typ) {
			lists = append(lists, k)
		}
	}
	slices.Sort(lists)
	kind := rapid.SampledFrom(lists).Draw(t, "kind")
	m := reflect.New(types[kind])
	arbitrary.Value(t, m.Elem(), false)
	fields, keys := make(map[uint64]cbor.RawMessage), []uint64{}
	want, leftOut := reflect.New(types[kind]), 0
	for _, f := range fieldsOf(types[kind]) {
		field := m.Elem().Field(f.index)
		keys = append(keys, f.key)
		if !f.isIndependent {
			fields[f.key], _ = Marshal(field.Interface())
			want.Elem().Field(f.index).Set(field)
			continue
		}
		elements := cbor.RawMessage{0x80 + byte(field.Len())}
		for i := range field.Len() {
			data, err := Marshal(field.Index(i).Interface())
			require.NoError(t, err)
			if rapid.IntRange(0, 2).Draw(t, "isDamaged") == 0 {
				data = damagedBody(t, data)
			}
			if Unmarshal(append([]byte{0x81}, data...), new([]cbor.RawMessage)) != nil {
				// An element that is malformed, too deep, or has a tag with the wrong content costs its message.
				data = cbor.RawMessage{0xf5}
			}
			elements = append(elements, data...)
			element := reflect.New(field.Type().Elem())
			if Unmarshal(data, element.Interface()) != nil {
				leftOut++
				continue
			}
			want.Elem().Field(f.index).Set(reflect.Append(want.Elem().Field(f.index), element.Elem()))
		}
		fields[f.key] = elements
	}
	body := appendPairs(fields, keys, "\xba\x00\x00\x00", 0, nil, 0)
	_, got, err := Decode(appendEnvelope(t, kind, 0, body))
	if leftOut == 0 {
		require.NoError(t, err)
	} else {
		var partial *PartialError
		require.ErrorAs(t, err, &partial)
		require.Equal(t, leftOut, partial.Count)
	}
	requireSame(t, want.Interface(), got)
}

// FuzzBody looks for a body that makes Decode panic, that is taken for a broken envelope, or that is decoded to
// what can't be encoded.
func FuzzBody(f *testing.F) {
	for kind, typ := range types {
		data, err := Marshal(reflect.New(typ).Interface())
		require.NoError(f, err)
		f.Add(uint16(kind), data)
	}
	f.Add(uint16(KindUpstreams), []byte{0xa1, 0x01, 0x82, 0xa1, 0x01, 0x62, 0xff, 0xfe, 0xa1, 0x01, 0x61, 0x61})
	f.Add(uint16(9999), []byte{0x01})
	f.Fuzz(func(t *testing.T, kind uint16, body []byte) {
		requireDecodesAlone(t, Kind(kind), body)
	})
}

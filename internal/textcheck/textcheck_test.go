package textcheck

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// encodesItself has text that Check does not see.
type encodesItself struct{ Text string }

func (encodesItself) MarshalBinary() ([]byte, error) { return []byte{1}, nil }

func (*encodesItself) UnmarshalBinary([]byte) error { return nil }

type nested struct {
	Name    string            `cbor:"1,keyasint"`
	List    []nested          `cbor:"2,keyasint,omitempty"`
	Next    *nested           `cbor:"3,keyasint,omitempty"`
	Labels  map[string]string `cbor:"4,keyasint,omitempty"`
	Any     any               `cbor:"5,keyasint,omitempty"`
	Bytes   []byte            `cbor:"6,keyasint,omitempty"`
	Skipped string            `cbor:"-"`
	Itself  encodesItself     `cbor:"7,keyasint"`
	Fixed   [2]string         `cbor:"8,keyasint"`
}

const invalid = "i-95\xff\xfe"

func TestPathLeadsToInvalidText(t *testing.T) {
	for want, v := range map[string]nested{
		".Name":            {Name: invalid},
		".List[1].Name":    {List: []nested{{}, {Name: invalid}}},
		".Next.Next.Name":  {Next: &nested{Next: &nested{Name: invalid}}},
		".Labels[key]":     {Labels: map[string]string{invalid: ""}},
		".Labels[value]":   {Labels: map[string]string{"": invalid}},
		".Any":             {Any: invalid},
		".Any.Next.Name":   {Any: &nested{Next: &nested{Name: invalid}}},
		".Fixed[1]":        {Fixed: [2]string{"", invalid}},
		".List[0].List[0]": {List: []nested{{List: []nested{{Name: "\xc3\x28"}}}}},
	} {
		err := Check(&v)
		require.Error(t, err, want)
		require.Contains(t, err.Error(), want)
		require.NotContains(t, err.Error(), invalid)
	}
	require.NoError(t, Check(&nested{Name: "größe", Bytes: []byte(invalid), Skipped: invalid, Itself: encodesItself{invalid}}))
	require.NoError(t, Check(nil))
}

// Guards against a check that passes what the decoder refuses, or refuses what it accepts.
func TestCheckAgreesWithDecoder(t *testing.T) {
	text := rapid.OneOf(rapid.String(), rapid.Custom(func(t *rapid.T) string {
		return string(rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "bytes"))
	}))
	var value func(depth int) *rapid.Generator[nested]
	value = func(depth int) *rapid.Generator[nested] {
		return rapid.Custom(func(t *rapid.T) nested {
			v := nested{Name: text.Draw(t, "name"), Labels: rapid.MapOfN(text, text, 0, 2).Draw(t, "labels"), Bytes: []byte(text.Draw(t, "data"))}
			if depth > 0 {
				v.List = rapid.SliceOfN(value(depth-1), 0, 2).Draw(t, "list")
				next := value(depth-1).Draw(t, "next")
				v.Next = &next
			}
			return v
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		v := value(2).Draw(t, "value")
		data, err := cbor.Marshal(v)
		require.NoError(t, err)
		var got nested
		require.Equal(t, cbor.Unmarshal(data, &got) == nil, Check(&v) == nil)
	})
}

type message struct {
	All []struct {
		ID, Service, Address string
		Slots                int
	} `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

func BenchmarkCheckOfThousandRecords(b *testing.B) {
	var m message
	for range 1000 {
		m.All = append(m.All, struct {
			ID, Service, Address string
			Slots                int
		}{ID: "i-7f3a91c2", Service: "huvo11a", Address: "10.128.0.9:8080"})
	}
	m.Data = make([]byte, 1<<20)
	for b.Loop() {
		if Check(&m) != nil {
			b.Fatal("refused")
		}
	}
}

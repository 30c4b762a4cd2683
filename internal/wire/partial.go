package wire

import (
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/textcheck"
)

// independentTag marks a list in a struct whose elements do not depend on each other, and whose readers decide nothing
// by the absence of one. An element that can't be encoded or decoded is left out, so that it does not cost the others.
// A list of ranks, slots or offsets must not have the tag.
const independentTag = "independent"

// PartialError reports that elements of lists were left out, because they can't be encoded or decoded. The
// message without them can be used.
type PartialError struct {
	// Count is the number of elements that were left out, First the reason for the first one.
	Count int
	First error
}

// Error implements error.
func (e *PartialError) Error() string {
	return fmt.Sprintf("wire: %d elements left out: %v", e.Count, e.First)
}

// Unwrap returns the reason for the first element.
func (e *PartialError) Unwrap() error { return e.First }

// IsPartial reports whether err is a *PartialError.
func IsPartial(err error) bool {
	var partial *PartialError
	return errors.As(err, &partial)
}

func (e *PartialError) add(err error) {
	e.Count++
	if e.First == nil {
		e.First = err
	}
}

// orNil returns e if elements were left out.
func (e *PartialError) orNil() error {
	if e.Count == 0 {
		return nil
	}
	return e
}

// MarshalValid encodes the struct that v points to, without the elements of independent lists that have
// text that Unmarshal would refuse. With a *PartialError data can be used, with any other error not.
func MarshalValid(v any) (data []byte, err error) {
	checkErr := textcheck.Check(v)
	if checkErr == nil {
		return Marshal(v)
	}
	valid, partial := withoutInvalid(v)
	if partial.Count == 0 {
		return nil, checkErr
	}
	if err := textcheck.Check(valid); err != nil {
		return nil, err
	}
	if data, err = Marshal(valid); err != nil {
		return nil, err
	}
	return data, partial
}

// withoutInvalid returns a copy of the struct that v points to, without the elements of independent lists that
// have invalid text.
func withoutInvalid(v any) (valid any, partial *PartialError) {
	partial = &PartialError{}
	from := reflect.Indirect(reflect.ValueOf(v))
	if from.Kind() != reflect.Struct {
		return v, partial
	}
	to := reflect.New(from.Type())
	to.Elem().Set(from)
	for _, f := range fieldsOf(from.Type()) {
		if !f.isIndependent {
			continue
		}
		list := from.Field(f.index)
		kept := reflect.MakeSlice(list.Type(), 0, list.Len())
		for i := range list.Len() {
			if err := textcheck.Check(list.Index(i).Interface()); err != nil {
				partial.add(err)
				continue
			}
			kept = reflect.Append(kept, list.Index(i))
		}
		to.Elem().Field(f.index).Set(kept)
	}
	return to.Interface(), partial
}

// UnmarshalValid decodes data into the struct that v points to, without the elements of independent lists
// that can't be decoded. With a *PartialError v can be used, with any other error not.
func UnmarshalValid(data []byte, v any) error {
	err := Unmarshal(data, v)
	if err == nil {
		return nil
	}
	target := reflect.ValueOf(v).Elem()
	if target.Kind() != reflect.Struct || !hasIndependentLists(target.Type()) {
		return err
	}
	var values map[uint64]cbor.RawMessage
	if Unmarshal(data, &values) != nil {
		return err
	}
	target.SetZero()
	partial := &PartialError{}
	for _, f := range fieldsOf(target.Type()) {
		value, ok := values[f.key]
		if !ok {
			continue
		}
		if err := f.unmarshal(value, target.Field(f.index), partial); err != nil {
			return err
		}
	}
	return partial.orNil()
}

// unmarshal decodes the value of a field.
func (f field) unmarshal(data []byte, into reflect.Value, partial *PartialError) error {
	if !f.isIndependent {
		return Unmarshal(data, into.Addr().Interface())
	}
	var elements []cbor.RawMessage
	if err := Unmarshal(data, &elements); err != nil {
		return err
	}
	for _, data := range elements {
		element := reflect.New(into.Type().Elem())
		if err := Unmarshal(data, element.Interface()); err != nil {
			partial.add(err)
			continue
		}
		into.Set(reflect.Append(into, element.Elem()))
	}
	return nil
}

// field is a field of a struct as it is encoded.
type field struct {
	index         int
	key           uint64
	isIndependent bool
}

// encodedFields holds the []field of each struct type that was looked up.
var encodedFields sync.Map

// fieldsOf returns the encoded fields of a struct type.
func fieldsOf(t reflect.Type) []field {
	if fields, ok := encodedFields.Load(t); ok {
		return fields.([]field)
	}
	var fields []field
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("cbor"), ",")
		var key uint64
		if _, err := fmt.Sscan(tag, &key); err != nil {
			continue
		}
		_, isIndependent := t.Field(i).Tag.Lookup(independentTag)
		fields = append(fields, field{index: i, key: key, isIndependent: isIndependent})
	}
	encodedFields.Store(t, fields)
	return fields
}

func hasIndependentLists(t reflect.Type) bool {
	for _, f := range fieldsOf(t) {
		if f.isIndependent {
			return true
		}
	}
	return false
}

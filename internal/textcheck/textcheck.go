// Package textcheck finds text that is not valid UTF-8 in a value that is to be encoded. CBOR encoders write
// such text, but decoders refuse it, so that a host would send or save what no host can read. Check is for all
// that is encoded; IsName is stricter, for names that come from outside.
package textcheck

import (
	"reflect"
	"strconv"
	"sync"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Error reports text that is not valid UTF-8. It does not contain the text.
type Error struct {
	// Path leads to the text from the value that was checked, such as ".All[3].ID".
	Path string
}

// Error implements error.
func (e *Error) Error() string { return "invalid UTF-8 in " + e.Path }

// Check returns an *Error for the first text in v that is not valid UTF-8. It does not look into byte strings,
// fields that are not encoded, and types that encode themselves.
func Check(v any) error {
	if v == nil {
		return nil
	}
	value := reflect.ValueOf(v)
	if path, ok := checkerOf(value.Type()).check(value); !ok {
		return &Error{Path: path}
	}
	return nil
}

// checker checks the values of one type. check returns the path to the first invalid text.
type checker struct {
	check func(reflect.Value) (path string, ok bool)
}

// checkers holds the *checker of each type that was checked.
var checkers sync.Map

var (
	marshalerType       = reflect.TypeFor[cbor.Marshaler]()
	binaryMarshalerType = reflect.TypeFor[interface{ MarshalBinary() ([]byte, error) }]()
)

func valid(reflect.Value) (string, bool) { return "", true }

// checkerOf returns the checker of a type.
func checkerOf(t reflect.Type) *checker {
	if c, ok := checkers.Load(t); ok {
		return c.(*checker)
	}
	built := make(map[reflect.Type]*checker)
	c := build(t, built)
	// A checker may be used once those that it refers to are complete.
	for t, c := range built {
		checkers.Store(t, c)
	}
	return c
}

// build returns the checker of a type. built holds those of this call, complete or not, since a type may
// contain itself.
func build(t reflect.Type, built map[reflect.Type]*checker) *checker {
	if c, ok := checkers.Load(t); ok {
		return c.(*checker)
	}
	if c, ok := built[t]; ok {
		return c
	}
	c := &checker{}
	built[t] = c
	c.check = checkOf(t, built)
	return c
}

func checkOf(t reflect.Type, built map[reflect.Type]*checker) func(reflect.Value) (string, bool) {
	if t.Implements(marshalerType) || t.Implements(binaryMarshalerType) {
		return valid
	}
	switch t.Kind() {
	case reflect.String:
		return func(v reflect.Value) (string, bool) { return "", utf8.ValidString(v.String()) }
	case reflect.Struct:
		return checkStruct(t, built)
	case reflect.Slice, reflect.Array:
		return checkList(t, built)
	case reflect.Map:
		return checkMap(t, built)
	case reflect.Pointer:
		elem := build(t.Elem(), built)
		return func(v reflect.Value) (string, bool) {
			if v.IsNil() {
				return "", true
			}
			return elem.check(v.Elem())
		}
	case reflect.Interface:
		return func(v reflect.Value) (string, bool) {
			if v.IsNil() {
				return "", true
			}
			return checkerOf(v.Elem().Type()).check(v.Elem())
		}
	}
	return valid
}

// holdsText reports whether values of a type can contain text. started breaks cycles.
func holdsText(t reflect.Type, started map[reflect.Type]bool) bool {
	if started[t] || t.Implements(marshalerType) || t.Implements(binaryMarshalerType) {
		return false
	}
	started[t] = true
	switch t.Kind() {
	case reflect.String, reflect.Interface:
		return true
	case reflect.Struct:
		for i := range t.NumField() {
			if f := t.Field(i); isEncoded(f) && holdsText(f.Type, started) {
				return true
			}
		}
	case reflect.Slice, reflect.Array, reflect.Pointer:
		return holdsText(t.Elem(), started)
	case reflect.Map:
		return holdsText(t.Key(), started) || holdsText(t.Elem(), started)
	}
	return false
}

func isEncoded(f reflect.StructField) bool {
	return (f.IsExported() || f.Anonymous) && f.Tag.Get("cbor") != "-"
}

func checkStruct(t reflect.Type, built map[reflect.Type]*checker) func(reflect.Value) (string, bool) {
	type field struct {
		index   int
		name    string
		checker *checker
	}
	var fields []field
	for i := range t.NumField() {
		f := t.Field(i)
		if isEncoded(f) && holdsText(f.Type, make(map[reflect.Type]bool)) {
			fields = append(fields, field{index: i, name: f.Name, checker: build(f.Type, built)})
		}
	}
	return func(v reflect.Value) (string, bool) {
		for _, f := range fields {
			if path, ok := f.checker.check(v.Field(f.index)); !ok {
				return "." + f.name + path, false
			}
		}
		return "", true
	}
}

func checkList(t reflect.Type, built map[reflect.Type]*checker) func(reflect.Value) (string, bool) {
	if !holdsText(t.Elem(), make(map[reflect.Type]bool)) {
		return valid
	}
	elem := build(t.Elem(), built)
	return func(v reflect.Value) (string, bool) {
		for i := range v.Len() {
			if path, ok := elem.check(v.Index(i)); !ok {
				return "[" + strconv.Itoa(i) + "]" + path, false
			}
		}
		return "", true
	}
}

func checkMap(t reflect.Type, built map[reflect.Type]*checker) func(reflect.Value) (string, bool) {
	key, elem := build(t.Key(), built), build(t.Elem(), built)
	return func(v reflect.Value) (string, bool) {
		for it := v.MapRange(); it.Next(); {
			if path, ok := key.check(it.Key()); !ok {
				return "[key]" + path, false
			}
			if path, ok := elem.check(it.Value()); !ok {
				return "[value]" + path, false
			}
		}
		return "", true
	}
}

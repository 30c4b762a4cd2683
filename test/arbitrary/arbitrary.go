// Package arbitrary draws values of any type for property tests.
package arbitrary

import (
	"math"
	"reflect"

	"pgregory.net/rapid"
)

// Texts are short texts that hosts have to expect from outside. InvalidTexts are not valid UTF-8.
var (
	Texts        = []string{"", "i-95", "10.1.64.9:7340", "[fe80::1%eth0]:80", "\x00\n\"\\", "\uFFFD\u202e\U0010FFFF"}
	InvalidTexts = []string{"i-95\xff\xfe", "\xc3(", "\xed\xa0\x80", "\xf4\x90\x80\x80", "[fe80::1%\xff]:80", "a\x80"}
)

// maxLength is the maximum length of slices.
const maxLength = 5

// Value sets v to a random value. One in ten of its texts is not valid UTF-8 if isHostile is set. Fields that
// CBOR does not encode stay zero, and a field of another kind fails the test.
func Value(t *rapid.T, v reflect.Value, isHostile bool) {
	switch v.Kind() {
	case reflect.String:
		texts := Texts
		if isHostile && rapid.IntRange(0, 9).Draw(t, "hostile") == 0 {
			texts = InvalidTexts
		}
		v.SetString(rapid.SampledFrom(texts).Draw(t, "string"))
	case reflect.Bool:
		v.SetBool(rapid.Bool().Draw(t, "bool"))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(rapid.SampledFrom([]int64{0, 1, -1, 2, 3, 24, 1 << 31, math.MaxInt64, math.MinInt64}).Draw(t, "int"))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(rapid.SampledFrom([]uint64{0, 1, 2, 3, 24, 255, 1 << 31, math.MaxUint64}).Draw(t, "uint"))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(rapid.SampledFrom([]float64{0, 1, -1, 1.1, math.MaxFloat64, math.Inf(1), math.NaN()}).Draw(t, "float"))
	case reflect.Pointer:
		if rapid.Bool().Draw(t, "set") {
			v.Set(reflect.New(v.Type().Elem()))
			Value(t, v.Elem(), isHostile)
		}
	case reflect.Slice:
		if n := rapid.IntRange(-1, maxLength).Draw(t, "length"); n >= 0 {
			v.Set(reflect.MakeSlice(v.Type(), n, n))
		}
		elements(t, v, isHostile)
	case reflect.Array:
		elements(t, v, isHostile)
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("cbor") != "-" {
				Value(t, v.Field(i), isHostile)
			}
		}
	default:
		t.Fatalf("a value of type %s is not drawn", v.Type())
	}
}

func elements(t *rapid.T, v reflect.Value, isHostile bool) {
	if v.Type().Elem().Kind() == reflect.Uint8 {
		drawn := rapid.SliceOfN(rapid.Byte(), v.Len(), v.Len()).Draw(t, "bytes")
		reflect.Copy(v, reflect.ValueOf(drawn).Convert(reflect.SliceOf(v.Type().Elem())))
		return
	}
	for i := range v.Len() {
		Value(t, v.Index(i), isHostile)
	}
}

// IsSame reports whether two values are equal. A nil slice equals an empty one, and NaN equals NaN.
func IsSame(a, b reflect.Value) bool {
	switch a.Kind() {
	case reflect.Float32, reflect.Float64:
		return a.Float() == b.Float() || math.IsNaN(a.Float()) && math.IsNaN(b.Float())
	case reflect.Pointer:
		if a.IsNil() || b.IsNil() {
			return a.IsNil() == b.IsNil()
		}
		return IsSame(a.Elem(), b.Elem())
	case reflect.Slice, reflect.Array:
		if a.Len() != b.Len() {
			return false
		}
		for i := range a.Len() {
			if !IsSame(a.Index(i), b.Index(i)) {
				return false
			}
		}
		return true
	case reflect.Struct:
		for i := range a.NumField() {
			if !IsSame(a.Field(i), b.Field(i)) {
				return false
			}
		}
		return true
	}
	return a.Equal(b)
}

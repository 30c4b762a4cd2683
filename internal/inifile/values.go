package inifile

import (
	"encoding/hex"
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// namePattern limits names to characters that are allowed in headers, paths and metric names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// String accepts any text.
func String(text string) (string, error) { return text, nil }

// Name accepts up to 63 letters, digits, dots, dashes and underscores.
func Name(text string) (string, error) {
	if !namePattern.MatchString(text) {
		return "", errors.Errorf("%q is not a name: up to 63 letters, digits, dots, dashes and underscores, a letter or digit first", text)
	}
	return text, nil
}

// Bool accepts true or false.
func Bool(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, errors.Errorf("%q is neither true nor false", text)
}

// Int returns a parser of integers from low to high.
func Int(low, high int) func(string) (int, error) {
	return func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil {
			return 0, errors.Errorf("%q is not a whole number", text)
		}
		if n < low || n > high {
			return 0, errors.Errorf("%d is not between %d and %d", n, low, high)
		}
		return n, nil
	}
}

// Number returns a parser of finite numbers of at least low.
func Number(low float64) func(string) (float64, error) {
	return func(text string) (float64, error) {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return 0, errors.Errorf("%q is not a number", text)
		}
		if n < low {
			return 0, errors.Errorf("%s is less than %v", text, low)
		}
		return n, nil
	}
}

// Duration accepts a positive duration in Go's format, such as 1m30s.
func Duration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Errorf("%q is not a duration", text)
	}
	if d <= 0 {
		return 0, errors.Errorf("%q is not above zero", text)
	}
	return d, nil
}

// Bytes is a size in bytes.
type Bytes int64

// The units of sizes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

var units = []struct {
	suffix string
	bytes  Bytes
}{{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB}, {"B", 1}, {"", 1}}

// Size accepts a positive integer with the unit B, KiB, MiB or GiB. Without a unit it counts
// bytes.
func Size(text string) (Bytes, error) {
	for _, unit := range units {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n <= 0 || n > math.MaxInt64/int64(unit.bytes) {
			break
		}
		return Bytes(n) * unit.bytes, nil
	}
	return 0, errors.Errorf("%q is not a size", text)
}

// AddrPort accepts an IP address and port. Host names are refused.
func AddrPort(text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, errors.Errorf("%q is not an IP number and port", text)
	}
	return addr, nil
}

// SHA256 is a SHA-256 digest.
type SHA256 [32]byte

// String returns the digest in hexadecimal.
func (d SHA256) String() string { return hex.EncodeToString(d[:]) }

// ParseSHA256 accepts 64 hexadecimal digits.
func ParseSHA256(text string) (SHA256, error) {
	var d SHA256
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return d, errors.New("is not a SHA-256 in 64 hexadecimal digits")
	}
	copy(d[:], raw)
	return d, nil
}

// OneOf returns a parser that accepts one of the words.
func OneOf[T ~string](words ...T) func(string) (T, error) {
	return func(text string) (T, error) {
		names := make([]string, len(words))
		for i, word := range words {
			if string(word) == text {
				return word, nil
			}
			names[i] = string(word)
		}
		return "", errors.Errorf("%q is not one of %s", text, strings.Join(names, ", "))
	}
}

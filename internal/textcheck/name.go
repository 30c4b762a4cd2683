package textcheck

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// IsName reports whether s can name something: it has 1 to maxBytes bytes of valid UTF-8, without control
// characters and U+FFFD. A control character would end the line of a header field that carries the name.
// Decoders put U+FFFD in the place of text that they can't read, so names with it can't be told apart.
func IsName(s string, maxBytes int) bool {
	return s != "" && len(s) <= maxBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, isUnusable)
}

func isUnusable(r rune) bool { return r == utf8.RuneError || unicode.IsControl(r) }

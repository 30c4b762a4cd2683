package textcheck

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against names that decoders refuse or alter, or that end a line of a header.
func TestNames(t *testing.T) {
	for _, s := range []string{"i-7f3a91c2", "größe", "世界", "a b", `"`, "a/b", strings.Repeat("i", 32)} {
		require.True(t, IsName(s, 32), "%q", s)
	}
	for _, s := range []string{
		"", strings.Repeat("i", 33), strings.Repeat("ö", 17), "i-95\xff\xfe", "i-\xc3\x28", "\xed\xa0\x80", "\xc0\x80", "i-\xf4\x90\x80\x80",
		"i\x00", "i\r\nX: 1", "i\n", "i\t", "i\x7f", "i\u0085", "i-\ufffd",
	} {
		require.False(t, IsName(s, 32), "%q", s)
	}
}

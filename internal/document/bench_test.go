package document

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// repeatToMaxSize returns head followed by as many copies of piece as fit into MaxSize. Each
// numbered has its own number.
func repeatToMaxSize(head, piece string) []byte {
	var b strings.Builder
	b.WriteString(head)
	for i := 0; ; i++ {
		numbered := fmt.Sprintf(piece, i)
		if b.Len()+len(numbered) > MaxSize {
			return []byte(b.String())
		}
		b.WriteString(numbered)
	}
}

// BenchmarkParse parses texts of the maximum size: a valid one, and invalid ones with as many
// problems as possible.
func BenchmarkParse(b *testing.B) {
	head := "[service]\nname = a\n"
	cases := map[string][]byte{
		"workspaces":      repeatToMaxSize(head, "[workspace \"w%[1]d\"]\nshare = 1\ntoken-sha256 = %064[1]x\n"),
		"unknown-keys":    repeatToMaxSize(head, "k%d=1\n"),
		"repeated-keys":   repeatToMaxSize(head, "k=%d\n"),
		"sections":        repeatToMaxSize(head, "[s%d]\n"),
		"repeated-header": repeatToMaxSize(head, "[s]\na%d=1\n"),
	}
	for name, text := range cases {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, err := Parse(text)
				require.Equal(b, name != "workspaces", err != nil)
			}
		})
	}
}

package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Equal requests must have the same fingerprint on all hosts with one secret. A request that
// differs in any part must have another fingerprint, also if bytes only move from one part to
// the next.
func TestFingerprintDiffersByRequestField(t *testing.T) {
	base := Request{Workspace: "w", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("body")}
	fingerprint := NewHasher("secret").Of(&base)
	require.Equal(t, fingerprint, NewHasher("secret").Of(&base))
	require.NotEqual(t, fingerprint, NewHasher("other").Of(&base))
	for name, change := range map[string]func(*Request){
		"workspace":                func(r *Request) { r.Workspace = "v" },
		"method":                   func(r *Request) { r.Method = "PUT" },
		"host":                     func(r *Request) { r.Host = "g" },
		"target":                   func(r *Request) { r.Target = "/a" },
		"body":                     func(r *Request) { r.Body = []byte("bod") },
		"a border between parts":   func(r *Request) { r.Workspace, r.Method = "wP", "OST" },
		"a border before the body": func(r *Request) { r.Target, r.Body = "/a?bb", []byte("ody") },
	} {
		changed := base
		change(&changed)
		require.NotEqual(t, fingerprint, NewHasher("secret").Of(&changed), name)
	}
}

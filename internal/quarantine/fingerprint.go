// Package quarantine finds requests that crash the upstreams that run them, and decides which
// of them are no longer sent to any upstream.
//
// A crash is an unannounced end of an upstream's process, whether a request caused it or
// something outside. Hosts exchange what they observe.
package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request by its content and workspace. A retry of the request has the
// same fingerprint, at any host.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Request is what a fingerprint is computed from. Header fields are left out, since ids and
// deadlines differ between two attempts of one request.
type Request struct {
	// Workspace is the caller's workspace, empty where callers are not authenticated.
	Workspace string
	Method    string
	Host      string
	// Target is the URL path with the query.
	Target string
	Body   []byte
}

// Hasher computes fingerprints with a keyed hash. Hosts with the same secret compute the same
// fingerprints. Callers who don't know the secret can't search for two requests with the same
// fingerprint.
type Hasher struct{ secret []byte }

// NewHasher returns a Hasher that uses the secret that all hosts of the system share.
func NewHasher(secret string) Hasher { return Hasher{secret: []byte(secret)} }

// Of returns the fingerprint of a request.
func (h Hasher) Of(r *Request) Fingerprint {
	mac := hmac.New(sha256.New, h.secret)
	for _, part := range []string{r.Workspace, r.Method, r.Host, r.Target} {
		// The length prefix keeps two requests apart whose parts are split differently but
		// concatenate to the same bytes.
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		mac.Write(length[:])
		mac.Write([]byte(part))
	}
	mac.Write(r.Body)
	var f Fingerprint
	copy(f[:], mac.Sum(nil))
	return f
}

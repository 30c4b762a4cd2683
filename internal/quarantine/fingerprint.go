// Package quarantine finds requests that crash the upstreams that run them, and parts of prompts that
// crash the upstreams that write an answer on them. It decides which requests are no longer sent to any
// upstream.
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

// Fingerprint identifies a request by its content and workspace, or a part of prompts by its id. A
// retry of a request has the same fingerprint, at any host, and so has a part in all requests that
// contain it.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// shortBytes is how much of a fingerprint Short shows, enough to tell those in one log apart.
const shortBytes = 4

// Short returns the beginning of the fingerprint in hexadecimal, for log lines with many of them.
func (f Fingerprint) Short() string { return hex.EncodeToString(f[:shortBytes]) }

// Content identifies what may be harmful in a request: the request as a whole, and the parts of its
// prompt that other requests may have too.
type Content struct {
	Request Fingerprint
	Parts   []Fingerprint
}

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
	return h.sum(r.Body, r.Workspace, r.Method, r.Host, r.Target)
}

// OfPart returns the fingerprint of a part of prompts with the given id. It doesn't depend on the
// workspace, because workspaces share parts.
func (h Hasher) OfPart(id string) Fingerprint { return h.sum(nil, partDomain, id) }

// partDomain keeps the fingerprints of parts apart from those of requests.
const partDomain = "prompt part"

// sum returns the keyed hash of the fields and the body.
func (h Hasher) sum(body []byte, fields ...string) Fingerprint {
	mac := hmac.New(sha256.New, h.secret)
	for _, field := range fields {
		// The length prefix keeps two requests apart whose fields are split differently but
		// concatenate to the same bytes.
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(field)))
		mac.Write(length[:])
		mac.Write([]byte(field))
	}
	mac.Write(body)
	var f Fingerprint
	copy(f[:], mac.Sum(nil))
	return f
}

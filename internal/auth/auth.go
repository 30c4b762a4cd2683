// Package auth identifies operators by their bearer tokens and decides which documents they may
// read and write.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"

	"github.com/sassafraspost/sassafraspost/internal/inifile"
	"github.com/sassafraspost/sassafraspost/internal/settings"
)

// Hash is the SHA-256 of a bearer token; tokens themselves are never stored.
type Hash = inifile.SHA256

// HashToken returns the digest by which settings and documents refer to a token.
func HashToken(token string) Hash { return sha256.Sum256([]byte(token)) }

// Identity is an authenticated operator and its permissions.
type Identity struct {
	Name string
	// Admin permits cluster operations and reading every document.
	Admin bool
	// Documents are the names of the documents that the operator may read and write.
	Documents []string
	// AllDocuments permits reading and writing every document.
	AllDocuments bool
}

// MayWrite reports whether the operator may submit the document.
func (i Identity) MayWrite(document string) bool {
	return i.AllDocuments || slices.Contains(i.Documents, document)
}

// MayRead reports whether the operator may read the document.
func (i Identity) MayRead(document string) bool { return i.Admin || i.MayWrite(document) }

// Table maps tokens to identities. It is read-only and safe for concurrent use.
type Table struct{ rows []row }

type row struct {
	hash     Hash
	identity Identity
}

// NewTable returns a Table of the operators in the settings.
func NewTable(operators []settings.Operator) *Table {
	t := &Table{}
	for _, op := range operators {
		t.rows = append(t.rows, row{hash: op.TokenHash, identity: Identity{
			Name:         op.Name,
			Admin:        op.Admin,
			Documents:    slices.Clone(op.Documents),
			AllDocuments: op.AllDocuments,
		}})
	}
	return t
}

// Find returns the identity of a token. It compares the token with every row in constant time,
// so that the time it takes reveals nothing about the tokens. An empty token has no identity.
func (t *Table) Find(token string) (Identity, bool) {
	if token == "" {
		return Identity{}, false
	}
	hash := HashToken(token)
	found := -1
	for i := range t.rows {
		equal := subtle.ConstantTimeCompare(hash[:], t.rows[i].hash[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return Identity{}, false
	}
	return t.rows[found].identity, true
}

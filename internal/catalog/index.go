package catalog

import (
	"crypto/sha256"

	"github.com/sassafraspost/sassafraspost/internal/document"
)

// Binding is a workspace with the document that defines it.
type Binding struct {
	Document  *document.Document
	Workspace *document.Workspace
}

// Index is an immutable index of the documents in force, by name, token and pool.
type Index struct {
	revision  uint64
	documents map[string]*document.Document
	tokens    map[[sha256.Size]byte]Binding
	pools     map[string]PoolModel
}

// PoolModel is the model that a pool of upstreams serves, with the document that defines it.
type PoolModel struct {
	Document *document.Document
	Model    *document.Model
	// Revision is the revision of the document.
	Revision uint64
}

// newIndex indexes documents, which must be sorted by name. Control hosts reject a document
// that uses a token or a pool of another one, but two such documents can be accepted at the
// same time. The first one by name then keeps the token or pool on every host, in all later
// revisions.
func newIndex(docs []stored, revision uint64) *Index {
	x := &Index{
		revision:  revision,
		documents: make(map[string]*document.Document, len(docs)),
		tokens:    make(map[[sha256.Size]byte]Binding),
		pools:     make(map[string]PoolModel),
	}
	for _, d := range docs {
		x.documents[d.Name] = d.parsed
		x.addTokens(d)
		x.addPools(d)
	}
	return x
}

func (x *Index) addTokens(d stored) {
	for _, w := range d.parsed.Workspaces {
		for _, t := range w.Tokens {
			if _, taken := x.tokens[t]; !taken {
				x.tokens[t] = Binding{Document: d.parsed, Workspace: w}
			}
		}
	}
}

func (x *Index) addPools(d stored) {
	for _, m := range d.parsed.Models {
		if _, taken := x.pools[m.Pool]; !taken {
			x.pools[m.Pool] = PoolModel{Document: d.parsed, Model: m, Revision: d.Revision}
		}
	}
}

// Revision returns the highest revision in the index.
func (x *Index) Revision() uint64 { return x.revision }

// Document returns the document of this name, or nil.
func (x *Index) Document(name string) *document.Document { return x.documents[name] }

// Documents returns how many documents are in force.
func (x *Index) Documents() int { return len(x.documents) }

// ByToken returns the workspace of a bearer token, which is given by its SHA-256 hash.
func (x *Index) ByToken(hash [sha256.Size]byte) (Binding, bool) {
	b, ok := x.tokens[hash]
	return b, ok
}

// ByPool returns the model that a pool serves.
func (x *Index) ByPool(pool string) (PoolModel, bool) {
	m, ok := x.pools[pool]
	return m, ok
}

// Package document defines the service document: an INI text in which a team declares the
// models, rank groups, plain services, priorities and workspaces of its service.
//
// The package does no I/O. A parsed Document is immutable and safe for concurrent use.
package document

import (
	"crypto/sha256"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/inifile"
)

// MaxSize is the maximum size of a document's text, in bytes.
const MaxSize = 1 << 20

// Digest is the SHA-256 of a document's text as it was submitted.
type Digest = inifile.SHA256

// DigestOf returns the digest of a submitted text.
func DigestOf(text []byte) Digest { return sha256.Sum256(text) }

// Document is a valid service document.
type Document struct {
	// Digest is computed from the submitted bytes, never from a re-encoding.
	Digest     Digest
	Service    Service
	Objective  Objective
	Models     []*Model
	Groups     []*Group
	Services   []*PlainService
	Calls      []*Call
	Priorities []*Priority
	Workspaces []*Workspace

	models     map[string]*Model
	groups     map[string]*Group
	services   map[string]*PlainService
	priorities map[string]*Priority
	workspaces map[string]*Workspace
	tokens     map[inifile.SHA256]*Workspace
}

// Kind restricts which sections a document may have.
type Kind string

// The kinds of services.
const (
	// KindModel allows models, but no plain services.
	KindModel Kind = "model"
	// KindService allows plain services, but no models.
	KindService Kind = "service"
	// KindMixed allows both.
	KindMixed Kind = "mixed"
)

// Service is the section [service].
type Service struct {
	// Name is the document's name in the administration API. Required.
	Name string
	// Kind defaults to mixed.
	Kind Kind
}

// Objective is the section [objective]: the weights used to place experts on ranks, and the
// default deadline.
type Objective struct {
	// SkewWeight is the weight of uneven step times across the ranks of a group. Default 1.
	SkewWeight float64
	// RebalanceWeight is the weight of the cost of moving experts between ranks. Default 1.
	RebalanceWeight float64
	// Deadline applies to requests whose priority class sets none. Default 30s.
	Deadline time.Duration
}

// Role is the phase of inference that a model's engines run.
type Role string

// The roles of engines. Unified engines run both prefill and decode.
const (
	RoleUnified Role = "unified"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Model is a section [model "NAME"]. Callers request the model by this name.
type Model struct {
	Name string
	// Pool is the pool of upstreams that serves the model. Default: the model's name.
	Pool string
	// Version is the version of the weights that engines are told to load. Required.
	Version string
	// Adapters are the adapters that engines load in addition to the weights. Default: none.
	Adapters []string
	// Role defaults to unified.
	Role Role
	// ChecksFencing states that the engines refuse orders with an outdated fencing token.
	// Default false.
	ChecksFencing bool
	// Resumable states that the engines can resume a stream at an offset. Default false.
	Resumable bool
}

// Group is a section [group "NAME"]: ranks that run every step of a model together, with the
// model's experts distributed among them.
type Group struct {
	Name string
	// Model is the name of a model of the document. Required.
	Model string
	// Ranks is the number of ranks. Required.
	Ranks int
	// Experts is the number of experts in each layer. Required.
	Experts int
	// Layers is the number of layers with experts. Required.
	Layers int
	// SlotsPerRank is how many experts of a layer fit on a rank. Required. All ranks together
	// must have a slot for every expert.
	SlotsPerRank int
}

// PlainService is a section [plain-service "NAME"]: a service that is called by path and isn't
// a model.
type PlainService struct {
	Name string
	// Pool is the pool of upstreams that serves the calls. Default: the service's name.
	Pool string
	// PathPrefix is the path prefix of all calls of the service, in the form that CleanPath
	// returns. Required.
	PathPrefix string
}

// Call is a section [call "NAME"]: a method and path pattern of a plain service, and whether
// matching calls are idempotent.
type Call struct {
	Name string
	// Service is the name of a plain service of the document. Required.
	Service string
	// Method is an HTTP method, or AnyMethod. Required.
	Method string
	// Path is a pattern below the service's prefix. A segment * matches exactly one segment. A
	// last segment ** matches any number of segments, including none. Required.
	Path string
	// Idempotent is false for calls that must not be retried if they may have run. Default: as
	// RFC 9110 defines the method; false for AnyMethod.
	Idempotent bool

	segments []string
}

// AnyMethod matches every HTTP method.
const AnyMethod = "*"

// Priority is a section [priority "NAME"], a class of requests.
type Priority struct {
	Name string
	// Rank orders the classes like the urgency of RFC 9218: 0 is served first, 7 last.
	// Required.
	Rank int
	// Deadline applies to requests of the class. Default: Objective.Deadline.
	Deadline time.Duration
}

// Workspace is a section [workspace "NAME"]: callers identified by their bearer tokens, with a
// common share of the capacity, common limits and permissions.
type Workspace struct {
	Name string
	// Share is the weight of the workspace when workspaces compete for capacity. Default 1.
	Share float64
	// MaxRequestsPerSecond limits the rate of requests. Default 0, which means unlimited.
	MaxRequestsPerSecond float64
	// MaxConcurrent limits the requests in progress. Default 0, which means unlimited.
	MaxConcurrent int
	// MaxTokensPerSecond limits the rate of model tokens. Default 0, which means unlimited.
	MaxTokensPerSecond float64
	// Priority is the class of requests that name none. Default: none.
	Priority string
	// Tokens are the SHA-256 digests of the callers' bearer tokens. Default: none.
	Tokens []inifile.SHA256
	// Models are the models that the workspace may request. Default: all models of the
	// document.
	Models AllowList
	// Services are the plain services that the workspace may call. Default: all plain services
	// of the document.
	Services AllowList
}

// AllowList is a set of names of a document that a workspace may use.
type AllowList struct {
	// All allows every name. It is set by * and by default.
	All   bool
	Names []string
}

// Allows reports whether the list contains the name.
func (a AllowList) Allows(name string) bool {
	if a.All {
		return true
	}
	for _, n := range a.Names {
		if n == name {
			return true
		}
	}
	return false
}

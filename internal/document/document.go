// Package document holds the service document: one INI text in which a team
// states what its service needs from model groups and plain services.
//
// The package is pure. A Document is read-only once parsed and may be shared.
package document

import (
	"crypto/sha256"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/inifile"
)

// MaxSize bounds the text of a document, in bytes.
const MaxSize = 1 << 20

// Digest is the SHA-256 of a document's text as it was submitted.
type Digest = inifile.SHA256

// DigestOf returns the digest of a submitted text.
func DigestOf(text []byte) Digest { return sha256.Sum256(text) }

// Document is a valid service document.
type Document struct {
	// Digest is taken over the submitted bytes, never over a re-encoding.
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

// Kind tells what a service is made of.
type Kind string

// The kinds of services.
const (
	// KindModel has models only.
	KindModel Kind = "model"
	// KindService has plain services only.
	KindService Kind = "service"
	// KindMixed may have both.
	KindMixed Kind = "mixed"
)

// Service is the section [service].
type Service struct {
	// Name is the document's name in the administration API. Required.
	Name string
	// Kind defaults to mixed.
	Kind Kind
}

// Objective is the section [objective]: what the placement of experts aims at.
type Objective struct {
	// SkewWeight is what a unit of step-time skew costs. Default 1.
	SkewWeight float64
	// RebalanceWeight is what a unit of rebalancing costs. Default 1.
	RebalanceWeight float64
	// Deadline bounds requests whose priority class states none. Default 30s.
	Deadline time.Duration
}

// Role is the part that a model's engines play.
type Role string

// The roles of engines.
const (
	RoleUnified Role = "unified"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Model is a section [model "NAME"]; callers ask for the model by this name.
type Model struct {
	Name string
	// Pool is the pool of upstreams that serves the model. Default: the name.
	Pool string
	// Version is the version of the weights that engines are ordered to load.
	// Required.
	Version string
	// Adapters are ordered to be loaded beside the weights. Default: none.
	Adapters []string
	// Role defaults to unified.
	Role Role
	// ChecksFencing states that the engines refuse orders with an old fencing
	// number. Default false.
	ChecksFencing bool
	// Resumable states that the engines can resume a stream at an offset.
	// Default false.
	Resumable bool
}

// Group is a section [group "NAME"]: ranks that run a model in lock-step.
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
	// SlotsPerRank is how many experts of a layer fit on a rank. Required; all
	// slots together hold every expert at least once.
	SlotsPerRank int
}

// PlainService is a section [plain-service "NAME"].
type PlainService struct {
	Name string
	// Pool is the pool of upstreams. Default: the name.
	Pool string
	// PathPrefix is the clean path below which the service's calls lie. Required.
	PathPrefix string
}

// Call is a section [call "NAME"]: how calls of a plain service behave.
type Call struct {
	Name string
	// Service is the name of a plain service of the document. Required.
	Service string
	// Method is an HTTP method, or AnyMethod. Required.
	Method string
	// Path is a pattern below the service's prefix. A segment * matches any one
	// segment, a last segment ** any number of them. Required.
	Path string
	// Idempotent is false for calls that may not be repeated. Default: as HTTP
	// defines the method; false for AnyMethod.
	Idempotent bool

	segments []string
}

// AnyMethod matches every HTTP method.
const AnyMethod = "*"

// Priority is a section [priority "NAME"], a class of requests.
type Priority struct {
	Name string
	// Rank orders the classes as the urgency of RFC 9218 does: 0 goes first, 7
	// last. Required.
	Rank int
	// Deadline bounds requests of the class. Default: that of the objective.
	Deadline time.Duration
}

// Workspace is a section [workspace "NAME"], a customer with its shares and limits.
type Workspace struct {
	Name string
	// Share is the weight of the workspace under contention. Default 1.
	Share float64
	// MaxRequestsPerSecond is unlimited where zero, the default.
	MaxRequestsPerSecond float64
	// MaxConcurrent is unlimited where zero, the default.
	MaxConcurrent int
	// MaxTokensPerSecond is unlimited where zero, the default.
	MaxTokensPerSecond float64
	// Priority is the class of requests that name none. Default: none.
	Priority string
	// Tokens are the SHA-256 of the callers' bearer tokens. Default: none.
	Tokens []inifile.SHA256
	// Models are those that the workspace may ask for. Default: the document's.
	Models AllowList
	// Services are those that the workspace may call. Default: the document's.
	Services AllowList
}

// AllowList is a choice among the names of a document.
type AllowList struct {
	// All is set by * and by default.
	All   bool
	Names []string
}

// Allows reports whether the selection holds the name.
func (s AllowList) Allows(name string) bool {
	if s.All {
		return true
	}
	for _, n := range s.Names {
		if n == name {
			return true
		}
	}
	return false
}

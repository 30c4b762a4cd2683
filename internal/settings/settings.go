// Package settings reads the INI settings of the daemon: typed, checked, and with
// every fault told at once by section and key.
package settings

import (
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/inifile"
)

// MaxSize bounds the settings file.
const MaxSize = 1 << 20

// MinSecretLength is the least length of the shared secret, in bytes.
const MinSecretLength = 16

// Role is a part that a daemon plays.
type Role string

// The roles of the daemon.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
	RoleAgent   Role = "agent"
)

// LogFormat is the form of log lines.
type LogFormat string

// The forms of log lines.
const (
	LogJSON LogFormat = "json"
	LogText LogFormat = "text"
)

// UpstreamKind tells what an agent stands in front of.
type UpstreamKind string

// The kinds of upstreams.
const (
	UpstreamModel   UpstreamKind = "model"
	UpstreamService UpstreamKind = "service"
)

// Settings holds everything that a daemon learns from its file. A section of a
// role that the host does not have holds the defaults.
type Settings struct {
	Host    Host
	Log     Log
	Peer    Peer
	Metrics Metrics
	Control Control
	Entry   Entry
	Agent   Agent
	// Operators are read on control hosts only.
	Operators []Operator
}

// Host is the section [host].
type Host struct {
	// Name is unique among all hosts. Required.
	Name string
	// DataCentre is where the host stands. Required.
	DataCentre string
	// Roles is what the daemon does. Required.
	Roles []Role
	// ShutdownGrace bounds how long a graceful shutdown waits for requests in
	// progress. Default 30s.
	ShutdownGrace time.Duration
}

// Log is the section [log].
type Log struct {
	// Format is json (default) or text.
	Format LogFormat
	// Level is debug, info (default), warn or error.
	Level slog.Level
}

// Peer is the section [peer]: the sessions between the system's own processes.
type Peer struct {
	// Listen is where sessions of other processes arrive. Required.
	Listen netip.AddrPort
	// Advertise is how other processes reach Listen. Default: Listen.
	Advertise netip.AddrPort
	// Secret is shared by all processes, at least MinSecret bytes. It comes from
	// the key secret, or from the file named by secret-file. One is required.
	Secret Secret
	// TLS of the sessions; off where empty.
	TLS TLS
	// CAFile holds the certificates that peers' certificates must chain to.
	// Default: none, allowed with TLS only.
	CAFile string
}

// Secret is a text that does not show up in logs.
type Secret string

// String hides the secret.
func (Secret) String() string { return "(secret)" }

// GoString hides the secret.
func (Secret) GoString() string { return "(secret)" }

// LogValue hides the secret.
func (Secret) LogValue() slog.Value { return slog.StringValue("(secret)") }

// TLS names the files of a certificate and its key. Both or neither are set.
type TLS struct {
	CertificateFile string
	KeyFile         string
}

// Enabled reports whether TLS is on.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// Metrics is the section [metrics].
type Metrics struct {
	// Listen serves the counters. Default: not served.
	Listen netip.AddrPort
}

// Control is the section [control].
type Control struct {
	// DataFolder holds the journal and snapshots. Required.
	DataFolder string
	// Tick is the unit of the consensus timeouts. Default 100ms.
	Tick time.Duration
	// SnapshotEntries is how many log entries lie between snapshots. Default 4096.
	SnapshotEntries int
	// ClaimRetention is how long the claim of a finished non-idempotent call is
	// kept. Default 24h.
	ClaimRetention time.Duration
	// APIListen serves the administration API. Required.
	APIListen netip.AddrPort
	// APITLS of the administration API; off where empty.
	APITLS TLS
	// Peers are the peer addresses of all control hosts, this one included. Required.
	Peers []netip.AddrPort
}

// Entry is the section [entry].
type Entry struct {
	// Listen serves callers. Required.
	Listen netip.AddrPort
	// TLS towards callers; off where empty.
	TLS TLS
	// Control are the peer addresses of the control hosts. Required.
	Control []netip.AddrPort
	// Entries are the entry hosts of the data centre, this one included. Required.
	Entries []EntryHost
	// MaxBody bounds a request's body. Default 1 MiB.
	MaxBody inifile.Bytes
	// MaxHeader bounds a request's header. Default 32 KiB.
	MaxHeader inifile.Bytes
	// QueueLimit bounds the requests that wait for admission. Default 1024.
	QueueLimit int
	// RequestTimeout bounds a request without a deadline. Default 2m.
	RequestTimeout time.Duration
	// IdleTimeout bounds how long a connection or stream stays silent. Default 1m.
	IdleTimeout time.Duration
	// MaxSessions bounds the connections of callers. Default 10000.
	MaxSessions int
	// DataCentres is how many data centres share the limits of workspaces, each an
	// equal part. Default 1.
	DataCentres int
	// PrefixCacheSize is how many prompt prefixes routing remembers. Default 100000.
	PrefixCacheSize int
	// RetryBudget is the share of recent requests that may be retries. Default 0.1.
	RetryBudget float64
}

// EntryHost is an entry host of the data centre, as the directory knows it.
type EntryHost struct {
	Name string
	Addr netip.AddrPort
}

// Agent is the section [agent].
type Agent struct {
	// UpstreamURL is the upstream's base URL, with an IP number. Required.
	UpstreamURL string
	// Kind is model or service. Required.
	Kind UpstreamKind
	// Pool is the pool that the upstream belongs to, as the document names it.
	// Required.
	Pool string
	// Entries are the peer addresses of the data centre's entry hosts. Required.
	Entries []netip.AddrPort
	// Control are the peer addresses of the control hosts. Required.
	Control []netip.AddrPort
	// Capacity is how many requests the upstream runs at once. Default 64.
	Capacity int
	// Group is the group of ranks that the upstream serves. Default: none; for
	// kind model only.
	Group string
	// FirstRank is the first rank that this host serves. Default 0.
	FirstRank int
	// Ranks is how many ranks this host serves. Default 1 with a group.
	Ranks int
	// AnnounceInterval is the time between announcements. Default 1s.
	AnnounceInterval time.Duration
	// PlanInterval is how often the group's expert map is looked at. Default 10s.
	PlanInterval time.Duration
}

// Operator is a section [operator "NAME"]: a bearer token of the administration
// API and what it permits.
type Operator struct {
	Name string
	// TokenHash is the SHA-256 of the token, the key token-sha256. Required.
	TokenHash inifile.SHA256
	// Documents are the documents that the operator may read and change.
	Documents []string
	// AllDocuments is set by documents = *.
	AllDocuments bool
	// Admin permits cluster operations. Default false.
	Admin bool
}

// HasRole reports whether the host has the role.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Host.Roles, r) }

// Load reads and checks the settings file at path, and the secret's file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(text)
}

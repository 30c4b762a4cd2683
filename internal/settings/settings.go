// Package settings reads the daemon's INI settings file into typed, checked values. It reports
// all problems of a file at once, by section and key.
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

// MaxSize is the maximum size of the settings file, in bytes.
const MaxSize = 1 << 20

// MinSecretLength is the minimum length of the shared secret, in bytes.
const MinSecretLength = 16

// Role is a function of a host in the system. A host may have several.
type Role string

// The roles of a host.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
	RoleAgent   Role = "agent"
)

// LogFormat is the format of log lines.
type LogFormat string

// The formats of log lines.
const (
	LogJSON LogFormat = "json"
	LogText LogFormat = "text"
)

// UpstreamKind is the kind of upstream that an agent serves.
type UpstreamKind string

// The kinds of upstreams.
const (
	UpstreamModel   UpstreamKind = "model"
	UpstreamService UpstreamKind = "service"
)

// Settings are the contents of the settings file. The sections of roles that the host does not
// have hold zero values.
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
	// DataCentre is the name of the host's data centre. Required.
	DataCentre string
	// Roles are the roles of the host. Required.
	Roles []Role
	// ShutdownGrace limits how long a graceful shutdown waits for requests in progress. Default
	// 30s.
	ShutdownGrace time.Duration
	// Memory is the memory that the process may use, from which the limits of what it holds for its clients follow.
	// Default: that of the machine.
	Memory inifile.Bytes
	// Descriptors is the number of file descriptors that the process may use. Default: its limit in the operating
	// system.
	Descriptors int
}

// Log is the section [log].
type Log struct {
	// Format is json (default) or text.
	Format LogFormat
	// Level is debug, info (default), warn or error.
	Level slog.Level
}

// Peer is the section [peer]: the connections between the system's own processes.
type Peer struct {
	// Listen is the address that accepts connections from other processes. Required.
	Listen netip.AddrPort
	// Advertise is the address at which other processes reach Listen. Default: Listen.
	Advertise netip.AddrPort
	// Secret is shared by all processes and has at least MinSecretLength bytes. It is set by
	// exactly one of the keys secret and secret-file, the latter with the path of a file.
	// Required.
	Secret Secret
	// TLS is used for the connections. Default: no TLS.
	TLS TLS
	// CAFile holds the certificate authorities that peers' certificates must chain to. It is
	// allowed only with TLS. Default: none.
	CAFile string
}

// Secret is a string whose value is hidden in formatted output and logs.
type Secret string

// String hides the secret.
func (Secret) String() string { return "(secret)" }

// GoString hides the secret.
func (Secret) GoString() string { return "(secret)" }

// LogValue hides the secret.
func (Secret) LogValue() slog.Value { return slog.StringValue("(secret)") }

// TLS holds the paths of a certificate and its key. Both or neither are set.
type TLS struct {
	CertificateFile string
	KeyFile         string
}

// Enabled reports whether TLS is on.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// Metrics is the section [metrics].
type Metrics struct {
	// Listen is the address at which metrics are served. Default: not served.
	Listen netip.AddrPort
}

// Control is the section [control].
type Control struct {
	// DataFolder is the folder of the journal and the snapshots. Required.
	DataFolder string
	// Tick is the unit of the consensus timeouts. Default 100ms.
	Tick time.Duration
	// SnapshotEntries is the number of log entries between snapshots. Default 4096.
	SnapshotEntries int
	// ClaimRetention is how long the claim of an idempotency key is kept after its
	// non-idempotent call has finished. Default 24h.
	ClaimRetention time.Duration
	// APIListen is the address of the administration API. Required.
	APIListen netip.AddrPort
	// APITLS is used for the administration API. Default: no TLS.
	APITLS TLS
	// Peers are the peer addresses of all control hosts, including this one. Required.
	Peers []netip.AddrPort
}

// Entry is the section [entry].
type Entry struct {
	// Listen is the address that accepts requests of callers. Required.
	Listen netip.AddrPort
	// TLS is used for connections of callers. Default: no TLS.
	TLS TLS
	// ControlHosts are the peer addresses of the control hosts. Required.
	ControlHosts []netip.AddrPort
	// Entries are the entry hosts of the data centre, including this one. Required.
	Entries []EntryHost
	// MaxBody limits the body of a request. Default 1 MiB.
	MaxBody inifile.Bytes
	// MaxHeader limits the header of a request. Default 32 KiB.
	MaxHeader inifile.Bytes
	// QueueLimit limits the requests that wait for admission. Default 1024.
	QueueLimit int
	// RequestTimeout limits the time that a request may take. It applies to requests without a
	// deadline and caps longer deadlines. Default 2m.
	RequestTimeout time.Duration
	// IdleTimeout is how long a connection may stay open without a request. Default 1m.
	IdleTimeout time.Duration
	// MaxSessions limits the connections of callers, and the requests in progress. Default
	// 10000.
	MaxSessions int
	// DataCentres is the number of data centres that share the limits of workspaces equally.
	// Default 1.
	DataCentres int
	// PrefixCacheSize is the number of prompt prefixes that routing remembers. Default 100000.
	PrefixCacheSize int
	// RetryBudget is the ratio of retries to recent requests that is allowed. Default 0.1.
	RetryBudget float64
}

// EntryHost is the name and peer address of an entry host of the data centre.
type EntryHost struct {
	Name string
	Addr netip.AddrPort
}

// Agent is the section [agent].
type Agent struct {
	// UpstreamURL is the upstream's base URL, with an IP address as its host. Required.
	UpstreamURL string
	// Kind is model or service. Required.
	Kind UpstreamKind
	// Pool is the pool that the upstream belongs to, as named in the service document.
	// Required.
	Pool string
	// Entries are the peer addresses of the data centre's entry hosts. Required.
	Entries []netip.AddrPort
	// ControlHosts are the peer addresses of the control hosts. Required.
	ControlHosts []netip.AddrPort
	// Capacity is how many requests the upstream runs at once. Default 64.
	Capacity int
	// Group is the group of ranks that the upstream belongs to. It is allowed only for the kind
	// model. Default: none.
	Group string
	// FirstRank is the first rank that this host serves. Default 0.
	FirstRank int
	// Ranks is the number of ranks that this host serves. Default 1 with a group.
	Ranks int
	// AnnounceInterval is the time between announcements of the upstream to the entry hosts.
	// Default 1s.
	AnnounceInterval time.Duration
	// PlanInterval is the time between plans of the group's expert map. Default 10s.
	PlanInterval time.Duration
}

// Operator is a section [operator "NAME"]: a bearer token of the administration API and its
// permissions.
type Operator struct {
	Name string
	// TokenHash is the SHA-256 of the token, set by the key token-sha256. Required.
	TokenHash inifile.SHA256
	// Documents are the documents that the operator may read and change.
	Documents []string
	// AllDocuments permits reading and changing every document. It is set by documents = *.
	AllDocuments bool
	// Admin permits cluster operations and reading every document. Default false.
	Admin bool
}

// HasRole reports whether the host has the role.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Host.Roles, r) }

// Load reads and checks the settings file at path, and the file that its secret-file names.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(text)
}

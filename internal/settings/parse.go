package settings

import (
	"bytes"
	"log/slog"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/inifile"
)

// Limits of numbers, higher than any host needs.
const (
	maxCount = 1 << 24
	maxRanks = 1024
)

// Parse parses and checks the text of a settings file. Its only I/O is to read the file that
// secret-file names. The error is an *inifile.Error with every problem.
func Parse(text []byte) (*Settings, error) {
	f, err := inifile.Parse("settings", text, MaxSize)
	if err != nil {
		return nil, err
	}
	s := &Settings{
		Host:    parseHost(f.Section("host")),
		Log:     parseLog(f.Section("log")),
		Peer:    parsePeer(f.Section("peer")),
		Metrics: Metrics{Listen: optionalAddr(f.Section("metrics"), "listen")},
	}
	if shouldParseRole(f, s, RoleControl) {
		s.Control = parseControl(f.Section("control"))
		s.Operators = parseOperators(f)
	}
	if shouldParseRole(f, s, RoleEntry) {
		s.Entry = parseEntry(f.Section("entry"))
	}
	if shouldParseRole(f, s, RoleAgent) {
		s.Agent = parseAgent(f.Section("agent"))
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// shouldParseRole reports whether the section of a role must be parsed. A section whose role
// the host does not have is a problem, because it would otherwise be ignored silently.
func shouldParseRole(f *inifile.File, s *Settings, r Role) bool {
	section := f.Section(string(r))
	if s.HasRole(r) {
		return true
	}
	section.IgnoreKeys()
	if section.Exists() && len(s.Host.Roles) > 0 {
		section.Errorf("", "the host does not have the role %s", r)
	}
	return false
}

func parseHost(s *inifile.Section) Host {
	return Host{
		Name:          inifile.Required(s, "name", inifile.Name),
		DataCentre:    inifile.Required(s, "data-centre", inifile.Name),
		Roles:         inifile.Required(s, "roles", inifile.List(inifile.OneOf(RoleEntry, RoleControl, RoleAgent))),
		ShutdownGrace: inifile.Optional(s, "shutdown-grace", 30*time.Second, inifile.Duration),
		Memory:        inifile.Optional(s, "memory", 0, parseMemory),
		Descriptors:   inifile.Optional(s, "descriptors", 0, inifile.Int(minDescriptors, maxCount)),
	}
}

const (
	// minMemory and minDescriptors are the least with which a process can work.
	minMemory      = 64 * inifile.MiB
	minDescriptors = 256
)

func parseMemory(text string) (inifile.Bytes, error) {
	n, err := inifile.Size(text)
	if err == nil && n < minMemory {
		err = errors.Errorf("%q is less than %d MiB", text, minMemory/inifile.MiB)
	}
	return n, err
}

func parseLog(s *inifile.Section) Log {
	return Log{
		Format: inifile.Optional(s, "format", LogJSON, inifile.OneOf(LogJSON, LogText)),
		Level:  inifile.Optional(s, "level", slog.LevelInfo, parseLevel),
	}
}

func parseLevel(text string) (slog.Level, error) {
	switch text {
	case "debug":
		return slog.LevelDebug, nil
	case "info":
		return slog.LevelInfo, nil
	case "warn":
		return slog.LevelWarn, nil
	case "error":
		return slog.LevelError, nil
	}
	return 0, errors.Errorf("%q is not one of debug, info, warn, error", text)
}

func parsePeer(s *inifile.Section) Peer {
	p := Peer{
		Listen: inifile.Required(s, "listen", inifile.AddrPort),
		Secret: parseSecret(s),
		TLS:    parseTLS(s, "tls-certificate", "tls-key"),
		CAFile: inifile.Optional(s, "tls-ca", "", inifile.String),
	}
	p.Advertise = inifile.Optional(s, "advertise", p.Listen, inifile.AddrPort)
	if p.Advertise.IsValid() && (p.Advertise.Addr().IsUnspecified() || p.Advertise.Addr().Zone() != "") {
		s.Errorf("advertise", "%s is not an address that others can reach", p.Advertise)
	}
	if p.CAFile != "" && !p.TLS.Enabled() {
		s.Errorf("tls-ca", "has no effect without tls-certificate")
	}
	return p
}

func parseSecret(s *inifile.Section) Secret {
	secret := inifile.Optional(s, "secret", "", inifile.String)
	file := inifile.Optional(s, "secret-file", "", inifile.String)
	switch {
	case secret != "" && file != "":
		s.Errorf("secret-file", "only one of secret and secret-file may be set")
		return ""
	case file != "":
		secret = inifile.Optional(s, "secret-file", "", readSecret)
		if secret == "" {
			return ""
		}
	case secret == "":
		s.Errorf("secret", "one of secret and secret-file is required")
		return ""
	}
	if len(secret) < MinSecretLength {
		s.Errorf("secret", "is shorter than %d characters", MinSecretLength)
	}
	if strings.ContainsFunc(secret, isInvalidInHeader) {
		s.Errorf("secret", "has control characters")
	}
	return Secret(secret)
}

// isInvalidInHeader reports whether the value of a header field, in which the secret is sent, can't have a character.
func isInvalidInHeader(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' }

func readSecret(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return "", errors.New("the file is empty")
	}
	return string(text), nil
}

func parseTLS(s *inifile.Section, certificate, key string) TLS {
	t := TLS{
		CertificateFile: inifile.Optional(s, certificate, "", inifile.String),
		KeyFile:         inifile.Optional(s, key, "", inifile.String),
	}
	if (t.CertificateFile == "") != (t.KeyFile == "") {
		s.Errorf(certificate, "%s and %s must be set together", certificate, key)
	}
	return t
}

func optionalAddr(s *inifile.Section, key string) netip.AddrPort {
	return inifile.Optional(s, key, netip.AddrPort{}, inifile.AddrPort)
}

func requiredAddrs(s *inifile.Section, key string) []netip.AddrPort {
	return inifile.Required(s, key, inifile.List(inifile.AddrPort))
}

func parseControl(s *inifile.Section) Control {
	return Control{
		DataFolder:      inifile.Required(s, "data-folder", inifile.String),
		Tick:            inifile.Optional(s, "tick", 100*time.Millisecond, inifile.Duration),
		SnapshotEntries: inifile.Optional(s, "snapshot-entries", 4096, inifile.Int(1, maxCount)),
		ClaimRetention:  inifile.Optional(s, "claim-retention", 24*time.Hour, inifile.Duration),
		APIListen:       inifile.Required(s, "api-listen", inifile.AddrPort),
		APITLS:          parseTLS(s, "api-tls-certificate", "api-tls-key"),
		Peers:           requiredAddrs(s, "peers"),
	}
}

func parseEntry(s *inifile.Section) Entry {
	return Entry{
		Listen:          inifile.Required(s, "listen", inifile.AddrPort),
		TLS:             parseTLS(s, "tls-certificate", "tls-key"),
		ControlHosts:    requiredAddrs(s, "control"),
		Entries:         inifile.Required(s, "entries", parseEntryHosts),
		MaxBody:         inifile.Optional(s, "max-body", inifile.MiB, inifile.Size),
		MaxHeader:       inifile.Optional(s, "max-header", 32*inifile.KiB, inifile.Size),
		QueueLimit:      inifile.Optional(s, "queue-limit", 1024, inifile.Int(1, maxCount)),
		RequestTimeout:  inifile.Optional(s, "request-timeout", 2*time.Minute, inifile.Duration),
		IdleTimeout:     inifile.Optional(s, "idle-timeout", time.Minute, inifile.Duration),
		MaxSessions:     inifile.Optional(s, "max-sessions", 10000, inifile.Int(1, maxCount)),
		DataCentres:     inifile.Optional(s, "data-centres", 1, inifile.Int(1, 64)),
		PrefixCacheSize: inifile.Optional(s, "prefix-cache-size", 100000, inifile.Int(1, maxCount)),
		RetryBudget:     inifile.Optional(s, "retry-budget", 0.1, inifile.Number(0)),
	}
}

// parseEntryHosts parses a list of name=ip:port. Names and addresses must be unique.
func parseEntryHosts(text string) ([]EntryHost, error) {
	hosts, err := inifile.List(parseEntryHost)(text)
	if err != nil {
		return nil, err
	}
	names := map[string]bool{}
	addrs := map[netip.AddrPort]bool{}
	for _, h := range hosts {
		if names[h.Name] || addrs[h.Addr] {
			return nil, errors.Errorf("%s=%s repeats a name or an address", h.Name, h.Addr)
		}
		names[h.Name] = true
		addrs[h.Addr] = true
	}
	return hosts, nil
}

func parseEntryHost(text string) (EntryHost, error) {
	name, addr, ok := strings.Cut(text, "=")
	if !ok {
		return EntryHost{}, errors.Errorf("%q is not of the form name=ip:port", text)
	}
	var h EntryHost
	var err error
	if h.Name, err = inifile.Name(strings.TrimSpace(name)); err != nil {
		return EntryHost{}, err
	}
	if h.Addr, err = inifile.AddrPort(strings.TrimSpace(addr)); err != nil {
		return EntryHost{}, err
	}
	return h, nil
}

func parseAgent(s *inifile.Section) Agent {
	a := Agent{
		UpstreamURL:      inifile.Required(s, "upstream-url", parseUpstreamURL),
		Kind:             inifile.Required(s, "kind", inifile.OneOf(UpstreamModel, UpstreamService)),
		Pool:             inifile.Required(s, "pool", inifile.Name),
		Entries:          requiredAddrs(s, "entries"),
		ControlHosts:     requiredAddrs(s, "control"),
		Capacity:         inifile.Optional(s, "capacity", 64, inifile.Int(1, maxCount)),
		Group:            inifile.Optional(s, "group", "", inifile.Name),
		FirstRank:        inifile.Optional(s, "first-rank", 0, inifile.Int(0, maxRanks-1)),
		Ranks:            inifile.Optional(s, "ranks", 0, inifile.Int(1, maxRanks)),
		AnnounceInterval: inifile.Optional(s, "announce-interval", time.Second, inifile.Duration),
		PlanInterval:     inifile.Optional(s, "plan-interval", 10*time.Second, inifile.Duration),
	}
	checkRanks(s, &a)
	return a
}

func checkRanks(s *inifile.Section, a *Agent) {
	if a.Group == "" {
		if a.Ranks != 0 || a.FirstRank != 0 {
			s.Errorf("ranks", "ranks are served by a group only")
		}
		return
	}
	if a.Kind == UpstreamService {
		s.Errorf("group", "a plain service has no group")
	}
	if a.Ranks == 0 {
		a.Ranks = 1
	}
	if a.FirstRank+a.Ranks > maxRanks {
		s.Errorf("ranks", "ranks beyond %d", maxRanks-1)
	}
}

func parseUpstreamURL(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return "", errors.Errorf("%q is not an http or https URL", text)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return "", errors.Errorf("%q does not hold an IP number and port", text)
	}
	if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return "", errors.Errorf("%q holds more than scheme, address and path", text)
	}
	return strings.TrimSuffix(text, "/"), nil
}

func parseOperators(f *inifile.File) []Operator {
	var operators []Operator
	owners := map[inifile.SHA256]string{}
	for _, s := range f.NamedSections("operator") {
		op := Operator{
			Name:      s.Name(),
			TokenHash: inifile.Required(s, "token-sha256", inifile.ParseSHA256),
			Admin:     inifile.Optional(s, "admin", false, inifile.Bool),
		}
		if documents := inifile.Optional(s, "documents", "", inifile.String); documents == "*" {
			op.AllDocuments = true
		} else {
			op.Documents = inifile.Optional(s, "documents", nil, inifile.List(inifile.Name))
		}
		if owner, ok := owners[op.TokenHash]; ok && op.TokenHash != (inifile.SHA256{}) {
			s.Errorf("token-sha256", "is the token of operator %q too", owner)
		}
		owners[op.TokenHash] = s.Name()
		operators = append(operators, op)
	}
	return operators
}

package local

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/sassafraspost/sassafraspost/test/faultproxy"
)

// writeSettings writes the INI file of each daemon.
func (s *System) writeSettings() error {
	for _, h := range s.Control {
		if err := s.writeSettingsFile(h, "control", s.controlSection); err != nil {
			return err
		}
	}
	for _, h := range s.Entries {
		if err := s.writeSettingsFile(h, "entry", s.entrySection); err != nil {
			return err
		}
	}
	for _, h := range s.Agents {
		if err := s.writeSettingsFile(h, "agent", s.agentSection); err != nil {
			return err
		}
	}
	return nil
}

// writeSettingsFile writes the settings that all roles share and those of the host's role.
func (s *System) writeSettingsFile(h *Host, role string, section func(*Host) (string, error)) error {
	advertise, err := s.advertisedAddress(h, role)
	if err != nil {
		return err
	}
	body, err := section(h)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`[host]
name = %s
data-centre = %s
roles = %s
shutdown-grace = %s
%s
[log]
format = text
level = info

[peer]
listen = %s
advertise = %s
secret = %s
%s
[metrics]
listen = %s

%s`, h.Name, h.DataCentre, role, s.Layout.ShutdownGrace, s.machineSettings(), h.PeerAddress, advertise, s.secret, s.peerTLSSettings(), h.MetricsAddress, body)
	return os.WriteFile(filepath.Join(s.Dir, h.Name+".ini"), []byte(text), 0o600)
}

// advertisedAddress returns the address that h announces to other hosts. Only agents are dialled
// by their announced address, so one inbound proxy per agent is enough. Control and entry hosts
// are dialled by the addresses in settings files, with a proxy for each pair of hosts.
func (s *System) advertisedAddress(h *Host, role string) (string, error) {
	if !s.Layout.HasProxies || role != "agent" {
		return h.PeerAddress, nil
	}
	p, err := faultproxy.NewTCP(s.messageProxyAddress(h))
	if err != nil {
		return "", err
	}
	s.inboundProxies[h.Name] = p
	return p.Address(), nil
}

// proxyLink returns the address by which from dials to, and starts a proxy there if the layout
// has proxies.
func (s *System) proxyLink(from, to *Host) (string, error) {
	if !s.Layout.HasProxies || from == to {
		return to.PeerAddress, nil
	}
	target := to.PeerAddress
	if s.isAgent(from) && !s.isControl(to) {
		target = s.messageProxyAddress(to)
	}
	p, err := faultproxy.NewTCP(target)
	if err != nil {
		return "", err
	}
	s.linkProxies[linkKey{from.Name, to.Name}] = p
	return p.Address(), nil
}

// messageProxyAddress starts a message proxy in front of h and returns its address. If the layout
// has no message proxies, it returns the address of h itself.
func (s *System) messageProxyAddress(h *Host) string {
	if !s.Layout.HasMessageProxies {
		return h.PeerAddress
	}
	m := faultproxy.NewWebSocket(h.PeerAddress)
	s.messageProxies = append(s.messageProxies, m)
	return m.Address()
}

func (s *System) isAgent(h *Host) bool { return slices.Contains(s.Agents, h) }

func (s *System) isControl(h *Host) bool { return slices.Contains(s.Control, h) }

// proxyLinks returns a settings list with the addresses by which from dials each of the hosts.
func (s *System) proxyLinks(from *Host, to []*Host) (string, error) {
	var addresses []string
	for _, h := range to {
		address, err := s.proxyLink(from, h)
		if err != nil {
			return "", err
		}
		addresses = append(addresses, address)
	}
	return strings.Join(addresses, ", "), nil
}

// entriesIn returns the entry hosts of a data centre.
func (s *System) entriesIn(dc string) []*Host {
	var entries []*Host
	for _, h := range s.Entries {
		if h.DataCentre == dc {
			entries = append(entries, h)
		}
	}
	return entries
}

// machineSettings returns the settings of what a daemon may use.
func (s *System) machineSettings() string {
	text := ""
	if s.Layout.MemoryMB > 0 {
		text += fmt.Sprintf("memory = %d MiB\n", s.Layout.MemoryMB)
	}
	if s.Layout.Descriptors > 0 {
		text += fmt.Sprintf("descriptors = %d\n", s.Layout.Descriptors)
	}
	return text
}

func (s *System) controlSection(h *Host) (string, error) {
	peers, err := s.proxyLinks(h, s.Control)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf(`[control]
data-folder = %s
tick = 50ms
snapshot-entries = 500
api-listen = %s
peers = %s
%s
[operator "platform"]
token-sha256 = %x
documents = *
admin = true
`, s.DataFolder(h), h.ListenAddress, peers, s.tlsSettings("api-"), sha256.Sum256([]byte(OperatorToken))), nil
}

// DataFolder returns the folder of a control host's journal and snapshots.
func (s *System) DataFolder(h *Host) string { return filepath.Join(s.Dir, h.Name+".data") }

func (s *System) entrySection(h *Host) (string, error) {
	control, err := s.proxyLinks(h, s.Control)
	if err != nil {
		return "", err
	}
	var entries []string
	for _, e := range s.entriesIn(h.DataCentre) {
		address, err := s.proxyLink(h, e)
		if err != nil {
			return "", err
		}
		entries = append(entries, e.Name+"="+address)
	}
	return fmt.Sprintf(`[entry]
listen = %s
control = %s
entries = %s
%s`, h.ListenAddress, control, strings.Join(entries, ", "), s.tlsSettings("")), nil
}

func (s *System) agentSection(h *Host) (string, error) {
	control, err := s.proxyLinks(h, s.Control)
	if err != nil {
		return "", err
	}
	entries, err := s.proxyLinks(h, s.entriesIn(h.DataCentre))
	if err != nil {
		return "", err
	}
	kind, pool := "model", "drafter"
	if strings.HasPrefix(h.Name, "service-") {
		kind, pool = "service", "slots"
	}
	group := ""
	if strings.HasPrefix(h.Name, "group-") {
		group = fmt.Sprintf("group = drafter-a\nfirst-rank = %d\nranks = %d\nplan-interval = 500ms\n", h.FirstRank, s.Layout.RanksPerHost)
	}
	return fmt.Sprintf(`[agent]
upstream-url = http://%s
kind = %s
pool = %s
entries = %s
control = %s
announce-interval = 500ms
%s`, h.Upstream.ListenAddress, kind, pool, entries, control, group), nil
}

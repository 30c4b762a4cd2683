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
		if err := s.write(h, "control", s.controlSection); err != nil {
			return err
		}
	}
	for _, h := range s.Entries {
		if err := s.write(h, "entry", s.entrySection); err != nil {
			return err
		}
	}
	for _, h := range s.Agents {
		if err := s.write(h, "agent", s.agentSection); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) write(h *Host, role string, section func(*Host) (string, error)) error {
	advertise, err := s.advertised(h, role)
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

%s`, h.Name, h.DataCentre, role, s.Layout.Grace, h.Peer, advertise, s.secret, s.peerTLS(), h.Metrics, body)
	return os.WriteFile(filepath.Join(s.Dir, h.Name+".ini"), []byte(text), 0o600)
}

// advertised is where other hosts reach h. Agents are reached only so; all else
// comes from settings and has a proxy for each pair.
func (s *System) advertised(h *Host, role string) (string, error) {
	if !s.Layout.HasProxies || role != "agent" {
		return h.Peer, nil
	}
	p, err := faultproxy.NewTCP(s.behindMessages(h))
	if err != nil {
		return "", err
	}
	s.inbound[h.Name] = p
	return p.Address(), nil
}

// link returns the address under which from reaches to.
func (s *System) link(from, to *Host) (string, error) {
	if !s.Layout.HasProxies || from == to {
		return to.Peer, nil
	}
	target := to.Peer
	if s.isAgent(from) && !s.isControl(to) {
		target = s.behindMessages(to)
	}
	p, err := faultproxy.NewTCP(target)
	if err != nil {
		return "", err
	}
	s.links[linkKey{from.Name, to.Name}] = p
	return p.Address(), nil
}

// behindMessages returns where h is reached through a proxy of its messages, and its
// own address where the layout has none.
func (s *System) behindMessages(h *Host) string {
	if !s.Layout.HasMessages {
		return h.Peer
	}
	m := faultproxy.NewWebSocket(h.Peer)
	s.messages = append(s.messages, m)
	return m.Address()
}

func (s *System) isAgent(h *Host) bool { return slices.Contains(s.Agents, h) }

func (s *System) isControl(h *Host) bool { return slices.Contains(s.Control, h) }

func (s *System) linkList(from *Host, to []*Host) (string, error) {
	var list []string
	for _, h := range to {
		address, err := s.link(from, h)
		if err != nil {
			return "", err
		}
		list = append(list, address)
	}
	return strings.Join(list, ", "), nil
}

func (s *System) inCentre(dc string) []*Host {
	var out []*Host
	for _, h := range s.Entries {
		if h.DataCentre == dc {
			out = append(out, h)
		}
	}
	return out
}

func (s *System) controlSection(h *Host) (string, error) {
	peers, err := s.linkList(h, s.Control)
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
`, s.DataFolder(h), h.Listen, peers, s.tlsKeys("api-"), sha256.Sum256([]byte(OperatorToken))), nil
}

// DataFolder is where a control host keeps its state.
func (s *System) DataFolder(h *Host) string { return filepath.Join(s.Dir, h.Name+".data") }

func (s *System) entrySection(h *Host) (string, error) {
	control, err := s.linkList(h, s.Control)
	if err != nil {
		return "", err
	}
	var entries []string
	for _, e := range s.inCentre(h.DataCentre) {
		address, err := s.link(h, e)
		if err != nil {
			return "", err
		}
		entries = append(entries, e.Name+"="+address)
	}
	return fmt.Sprintf(`[entry]
listen = %s
control = %s
entries = %s
%s`, h.Listen, control, strings.Join(entries, ", "), s.tlsKeys("")), nil
}

func (s *System) agentSection(h *Host) (string, error) {
	control, err := s.linkList(h, s.Control)
	if err != nil {
		return "", err
	}
	entries, err := s.linkList(h, s.inCentre(h.DataCentre))
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
%s`, h.Upstream.Listen, kind, pool, entries, control, group), nil
}

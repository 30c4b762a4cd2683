package local

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/test/faultproxy"
)

// Tokens of the local system.
const (
	OperatorToken = "local-operator-token"
	CallerToken   = "local-caller-token"
)

// Layout says what to start.
type Layout struct {
	// Control is the number of control hosts. They spread over the data centres.
	Control int
	// Entries, Engines and Services are numbers of hosts in each data centre.
	Entries, Engines, Services int
	// GroupHosts is the number of hosts of one group in the first data centre, with
	// RanksPerHost ranks each. They share one stand-in, started with GroupArgs.
	GroupHosts, RanksPerHost int
	GroupArgs                []string
	// DataCentres are the names; one is the default.
	DataCentres []string
	// HasProxies puts a fault-injecting proxy on each link.
	HasProxies bool
	// HasMessages puts a proxy that can cross, duplicate and drop messages behind the
	// fault-injecting proxies of all links between agents and entry hosts.
	HasMessages bool
	// HasTLS puts all listeners of the product behind TLS.
	HasTLS bool
	// EngineArgs and ServiceArgs go to the stand-ins.
	EngineArgs, ServiceArgs []string
	// Grace is the shutdown grace of the daemons; 30s if zero.
	Grace time.Duration
}

// Host is one process with its addresses.
type Host struct {
	*Process
	DataCentre string
	// Peer is its peer listener; Listen serves callers (entry) or operators (control).
	Peer, Listen, Metrics string
	// Upstream is the stand-in behind an agent.
	Upstream *Host
	// FirstRank is the first rank of a host of a group.
	FirstRank int
}

// System is a running local system.
type System struct {
	Dir, Bin string
	Layout   Layout
	Control  []*Host
	Entries  []*Host
	Agents   []*Host
	StandIns []*Host

	links   map[linkKey]*faultproxy.TCP
	inbound map[string]*faultproxy.TCP
	// messages are between agents and entry hosts, in both ways of dialling.
	messages []*faultproxy.WebSocket
	// secret is the system's own, so that processes of another one that a test left
	// behind are strangers here, also where they come by a port that was theirs.
	secret string
	// reserved holds the sockets that keep the ports of the processes from others.
	reserved []int
}

type linkKey struct{ from, to string }

// New lays out a system in dir, with programs that Build put in bin. Nothing runs yet.
func New(dir, bin string, layout Layout) (*System, error) {
	if len(layout.DataCentres) == 0 {
		layout.DataCentres = []string{"centre-a"}
	}
	if layout.Grace == 0 {
		layout.Grace = 30 * time.Second
	}
	s := &System{
		Dir: dir, Bin: bin, Layout: layout, secret: rand.Text(),
		links: make(map[linkKey]*faultproxy.TCP), inbound: make(map[string]*faultproxy.TCP),
	}
	if err := s.place(); err != nil {
		return nil, err
	}
	if layout.HasTLS {
		if err := s.makeCertificate(); err != nil {
			return nil, err
		}
	}
	return s, s.writeSettings()
}

// place gives every process its name and addresses.
func (s *System) place() error {
	for i := range s.Layout.Control {
		dc := s.Layout.DataCentres[i%len(s.Layout.DataCentres)]
		if err := s.addDaemon(&s.Control, fmt.Sprintf("control-%d", i+1), dc); err != nil {
			return err
		}
	}
	if err := s.placeGroup(); err != nil {
		return err
	}
	for _, dc := range s.Layout.DataCentres {
		for i := range s.Layout.Entries {
			if err := s.addDaemon(&s.Entries, fmt.Sprintf("entry-%s-%d", dc, i+1), dc); err != nil {
				return err
			}
		}
		if err := s.placeUpstreams(dc, "engine", s.Layout.Engines, s.Layout.EngineArgs); err != nil {
			return err
		}
		if err := s.placeUpstreams(dc, "service", s.Layout.Services, s.Layout.ServiceArgs); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) placeUpstreams(dc, kind string, n int, args []string) error {
	for i := range n {
		address, err := s.reserve()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%s-%s-%d", kind, dc, i+1)
		all := append([]string{"--listen", address, "--kind", kind}, args...)
		up := &Host{Process: newProcess(s.Dir, "upstream-"+name, filepath.Join(s.Bin, "standin"), all...), DataCentre: dc, Listen: address}
		s.StandIns = append(s.StandIns, up)
		if err := s.addDaemon(&s.Agents, name, dc); err != nil {
			return err
		}
		s.Agents[len(s.Agents)-1].Upstream = up
	}
	return nil
}

// placeGroup places the hosts of a group before one stand-in that runs all ranks.
func (s *System) placeGroup() error {
	if s.Layout.GroupHosts == 0 {
		return nil
	}
	dc := s.Layout.DataCentres[0]
	address, err := s.reserve()
	if err != nil {
		return err
	}
	ranks := strconv.Itoa(s.Layout.GroupHosts * s.Layout.RanksPerHost)
	args := append([]string{"--listen", address, "--kind", "group", "--ranks", ranks}, s.Layout.GroupArgs...)
	up := &Host{Process: newProcess(s.Dir, "upstream-group", filepath.Join(s.Bin, "standin"), args...), DataCentre: dc, Listen: address}
	s.StandIns = append(s.StandIns, up)
	for i := range s.Layout.GroupHosts {
		if err := s.addDaemon(&s.Agents, fmt.Sprintf("group-%d", i), dc); err != nil {
			return err
		}
		h := s.Agents[len(s.Agents)-1]
		h.Upstream = up
		h.FirstRank = i * s.Layout.RanksPerHost
	}
	return nil
}

func (s *System) addDaemon(list *[]*Host, name, dc string) error {
	h := &Host{DataCentre: dc}
	for _, a := range []*string{&h.Peer, &h.Listen, &h.Metrics} {
		address, err := s.reserve()
		if err != nil {
			return err
		}
		*a = address
	}
	path := filepath.Join(s.Dir, name+".ini")
	h.Process = newProcess(s.Dir, name, filepath.Join(s.Bin, "sassafraspostd"), "--settings", path)
	*list = append(*list, h)
	return nil
}

// Daemons returns every process of the product.
func (s *System) Daemons() []*Host {
	all := append([]*Host{}, s.Control...)
	all = append(all, s.Entries...)
	return append(all, s.Agents...)
}

// Start starts everything.
func (s *System) Start() error {
	for _, h := range append(append([]*Host{}, s.StandIns...), s.Daemons()...) {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends everything at once.
func (s *System) Stop() {
	for _, h := range append(s.Daemons(), s.StandIns...) {
		h.Thaw()
		h.Kill()
	}
	for _, p := range s.links {
		p.Close()
	}
	for _, p := range s.inbound {
		p.Close()
	}
	for _, p := range s.messages {
		p.Close()
	}
	s.release()
}

// OperatorTokenFile writes the operator's token and returns the file's path.
func (s *System) OperatorTokenFile() (string, error) {
	path := filepath.Join(s.Dir, "operator.token")
	return path, os.WriteFile(path, []byte(OperatorToken+"\n"), 0o600)
}

// APIServers lists the addresses of the administration API.
func (s *System) APIServers() string {
	scheme := "http://"
	if s.Layout.HasTLS {
		scheme = "https://"
	}
	var list []string
	for _, h := range s.Control {
		list = append(list, scheme+h.Listen)
	}
	return strings.Join(list, ",")
}

// Document returns a service document for the stand-ins. version is that of the model.
func Document(version string) string {
	return fmt.Sprintf(`[service]
name = local

[objective]
deadline = 20s

[model "drafter"]
version = %s
checks-fencing = true
resumable = true

[group "drafter-a"]
model = drafter
ranks = 8
experts = 64
layers = 4
slots-per-rank = 10

[plain-service "slots"]
path-prefix = /slots

[call "book"]
service = slots
method = POST
path = /slots/book
idempotent = false

[workspace "clubs"]
share = 1
token-sha256 = %x
`, version, sha256.Sum256([]byte(CallerToken)))
}

// Find returns the host of this name.
func (s *System) Find(name string) (*Host, error) {
	for _, h := range append(s.Daemons(), s.StandIns...) {
		if h.Name == name {
			return h, nil
		}
	}
	return nil, errors.Errorf("no host %s", name)
}

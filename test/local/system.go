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

// Bearer tokens of the local system.
const (
	OperatorToken = "local-operator-token"
	CallerToken   = "local-caller-token"
)

// Layout describes the processes of a system.
type Layout struct {
	// Control is the number of control hosts, which are spread over the data centres.
	Control int
	// Entries, Engines and Services are the numbers of entry hosts, agents of model engines
	// and agents of plain services in each data centre.
	Entries, Engines, Services int
	// GroupHosts is the number of hosts of one engine group in the first data centre, with
	// RanksPerHost ranks each. They share one stand-in, which is started with GroupArgs.
	GroupHosts, RanksPerHost int
	GroupArgs                []string
	// DataCentres has the names of the data centres. The default is one, centre-a.
	DataCentres []string
	// HasProxies puts a fault-injecting TCP proxy on each link between two hosts.
	HasProxies bool
	// HasMessageProxies also puts a proxy that can reorder, duplicate and drop messages on each
	// link between agents and entry hosts, behind the TCP proxy.
	HasMessageProxies bool
	// HasTLS makes all listeners of the daemons use TLS, except those of metrics.
	HasTLS bool
	// EngineArgs and ServiceArgs are command-line arguments of the stand-ins.
	EngineArgs, ServiceArgs []string
	// ShutdownGrace is the setting shutdown-grace of the daemons. Zero means 30s.
	ShutdownGrace time.Duration
	// MemoryMB and Descriptors are what the daemons may use, by their settings memory and descriptors. Zero means
	// the default.
	MemoryMB, Descriptors int
}

// Host is one process, a daemon or a stand-in, with its addresses.
type Host struct {
	*Process
	DataCentre string
	// PeerAddress serves the sessions between hosts. ListenAddress serves callers on an entry
	// host or a stand-in, and operators on a control host.
	PeerAddress, ListenAddress, MetricsAddress string
	// Upstream is the stand-in that an agent sends requests to, nil on other hosts.
	Upstream *Host
	// FirstRank is the lowest rank on a host of a group.
	FirstRank int
}

// System is a set of processes on loopback that form a whole system, with proxies between them.
//
// BinDir is the folder of the programs. Dir has the settings, data and logs of all processes.
type System struct {
	Dir, BinDir string
	Layout      Layout
	Control     []*Host
	Entries     []*Host
	Agents      []*Host
	StandIns    []*Host

	linkProxies    map[linkKey]*faultproxy.TCP
	inboundProxies map[string]*faultproxy.TCP
	// messageProxies are on the links between agents and entry hosts, whichever of the two dials.
	messageProxies []*faultproxy.WebSocket
	// secret is the peer secret, a different one for each system. A process that an earlier
	// test left running can't join this system, even if it dials a port that has been reused.
	secret string
	// reservedSockets has the file descriptors of the sockets that reserve ports.
	reservedSockets []int
}

// linkKey has the names of the dialling and the dialled host.
type linkKey struct{ from, to string }

// New writes the settings of a system to dir and starts its proxies. The programs are those that
// Build has put into bin; they are not started yet.
func New(dir, bin string, layout Layout) (*System, error) {
	if len(layout.DataCentres) == 0 {
		layout.DataCentres = []string{"centre-a"}
	}
	if layout.ShutdownGrace == 0 {
		layout.ShutdownGrace = 30 * time.Second
	}
	s := &System{
		Dir: dir, BinDir: bin, Layout: layout, secret: rand.Text(),
		linkProxies: make(map[linkKey]*faultproxy.TCP), inboundProxies: make(map[string]*faultproxy.TCP),
	}
	if err := s.createHosts(); err != nil {
		return nil, err
	}
	if layout.HasTLS {
		if err := s.makeCertificate(); err != nil {
			return nil, err
		}
	}
	return s, s.writeSettings()
}

// createHosts creates every host of the layout, with its name and addresses.
func (s *System) createHosts() error {
	for i := range s.Layout.Control {
		dc := s.Layout.DataCentres[i%len(s.Layout.DataCentres)]
		if err := s.addDaemon(&s.Control, fmt.Sprintf("control-%d", i+1), dc); err != nil {
			return err
		}
	}
	if err := s.createGroup(); err != nil {
		return err
	}
	for _, dc := range s.Layout.DataCentres {
		for i := range s.Layout.Entries {
			if err := s.addDaemon(&s.Entries, fmt.Sprintf("entry-%s-%d", dc, i+1), dc); err != nil {
				return err
			}
		}
		if err := s.createUpstreams(dc, "engine", s.Layout.Engines, s.Layout.EngineArgs); err != nil {
			return err
		}
		if err := s.createUpstreams(dc, "service", s.Layout.Services, s.Layout.ServiceArgs); err != nil {
			return err
		}
	}
	return nil
}

// createUpstreams creates n stand-ins in a data centre, each with its agent.
func (s *System) createUpstreams(dc, kind string, n int, args []string) error {
	for i := range n {
		address, err := s.reservePort()
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%s-%s-%d", kind, dc, i+1)
		allArgs := append([]string{"--listen", address, "--kind", kind}, args...)
		standIn := &Host{Process: newProcess(s.Dir, "upstream-"+name, filepath.Join(s.BinDir, "standin"), allArgs...), DataCentre: dc, ListenAddress: address}
		s.StandIns = append(s.StandIns, standIn)
		if err := s.addDaemon(&s.Agents, name, dc); err != nil {
			return err
		}
		s.Agents[len(s.Agents)-1].Upstream = standIn
	}
	return nil
}

// createGroup creates the agents of a group and the one stand-in that runs all its ranks.
func (s *System) createGroup() error {
	if s.Layout.GroupHosts == 0 {
		return nil
	}
	dc := s.Layout.DataCentres[0]
	address, err := s.reservePort()
	if err != nil {
		return err
	}
	ranks := strconv.Itoa(s.Layout.GroupHosts * s.Layout.RanksPerHost)
	args := append([]string{"--listen", address, "--kind", "group", "--ranks", ranks}, s.Layout.GroupArgs...)
	standIn := &Host{Process: newProcess(s.Dir, "upstream-group", filepath.Join(s.BinDir, "standin"), args...), DataCentre: dc, ListenAddress: address}
	s.StandIns = append(s.StandIns, standIn)
	for i := range s.Layout.GroupHosts {
		if err := s.addDaemon(&s.Agents, fmt.Sprintf("group-%d", i), dc); err != nil {
			return err
		}
		h := s.Agents[len(s.Agents)-1]
		h.Upstream = standIn
		h.FirstRank = i * s.Layout.RanksPerHost
	}
	return nil
}

// addDaemon appends a daemon to a list of hosts.
func (s *System) addDaemon(list *[]*Host, name, dc string) error {
	h := &Host{DataCentre: dc}
	for _, a := range []*string{&h.PeerAddress, &h.ListenAddress, &h.MetricsAddress} {
		address, err := s.reservePort()
		if err != nil {
			return err
		}
		*a = address
	}
	path := filepath.Join(s.Dir, name+".ini")
	h.Process = newProcess(s.Dir, name, filepath.Join(s.BinDir, "sassafraspostd"), "--settings", path)
	*list = append(*list, h)
	return nil
}

// Daemons returns every control host, entry host and agent, but no stand-ins.
func (s *System) Daemons() []*Host {
	all := append([]*Host{}, s.Control...)
	all = append(all, s.Entries...)
	return append(all, s.Agents...)
}

// Start starts all processes, stand-ins first.
func (s *System) Start() error {
	for _, h := range append(append([]*Host{}, s.StandIns...), s.Daemons()...) {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop kills all processes and closes the proxies.
func (s *System) Stop() {
	for _, h := range append(s.Daemons(), s.StandIns...) {
		h.Thaw()
		h.Kill()
	}
	for _, p := range s.linkProxies {
		p.Close()
	}
	for _, p := range s.inboundProxies {
		p.Close()
	}
	for _, p := range s.messageProxies {
		p.Close()
	}
	s.releasePorts()
}

// WriteOperatorTokenFile writes the operator's token to a file and returns the path.
func (s *System) WriteOperatorTokenFile() (string, error) {
	path := filepath.Join(s.Dir, "operator.token")
	return path, os.WriteFile(path, []byte(OperatorToken+"\n"), 0o600)
}

// APIServers returns the URLs of the administration API of all control hosts, separated by
// commas.
func (s *System) APIServers() string {
	scheme := "http://"
	if s.Layout.HasTLS {
		scheme = "https://"
	}
	var servers []string
	for _, h := range s.Control {
		servers = append(servers, scheme+h.ListenAddress)
	}
	return strings.Join(servers, ",")
}

// Document returns a service document that fits the stand-ins, with the given model version.
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

// Find returns the daemon or stand-in with this name.
func (s *System) Find(name string) (*Host, error) {
	for _, h := range append(s.Daemons(), s.StandIns...) {
		if h.Name == name {
			return h, nil
		}
	}
	return nil, errors.Errorf("no host %s", name)
}

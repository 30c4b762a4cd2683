// Command review-lab plays one case of the review: it starts the project's own node programs as
// processes on loopback addresses and stands in for the platform, the workers, the operator and the
// clients, as the users' pages describe them.
package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of a small deployment, as its sheet gives them.
const (
	contactTime       = 3 * time.Second
	drainTime         = 2 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	gracePeriod       = 8 * time.Second
)

// The ports of a machine, as offsets from the first port of the lab.
const (
	portPeer = iota
	portControl
	portFront
	portReady
	portWorker
	portCount
)

var zones = []string{"sofia-a", "sofia-b", "sofia-c"}

// Lab is one small deployment on loopback addresses.
type Lab struct {
	dir, binary, prefix string
	firstPort           int
	record              *Record
	core, fronts        []*Machine
}

// Machine is one machine of the platform with one process of the system.
type Machine struct {
	lab        *Lab
	name, role string
	zone, ip   string
	seeds      string

	// mu guards the fields below.
	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
}

// newLab prepares a lab whose machines have addresses that no other lab of this machine uses.
func newLab(dir, binary string, record *Record) (*Lab, error) {
	l := &Lab{dir: dir, binary: binary, record: record}
	for try := range 50 {
		l.prefix = fmt.Sprintf("127.%d.%d.", 30+(os.Getpid()+try)%200, 1+(os.Getpid()/200)%250)
		if l.pickPorts() {
			return l, nil
		}
	}
	return nil, fmt.Errorf("no consecutive ports are free")
}

// pickPorts finds consecutive ports that are free at the lab's addresses.
func (l *Lab) pickPorts() bool {
	first, err := net.Listen("tcp", l.prefix+"1:0")
	if err != nil {
		return false
	}
	l.firstPort = first.Addr().(*net.TCPAddr).Port
	_ = first.Close()
	for p := range portCount {
		c, err := net.Listen("tcp", l.address(l.prefix+"1", p))
		if err != nil {
			return false
		}
		_ = c.Close()
	}
	return true
}

func (l *Lab) ip(number int) string { return l.prefix + fmt.Sprint(number) }

func (l *Lab) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, l.firstPort+port) }

// addMachine adds a machine; number is the last byte of its address.
func (l *Lab) addMachine(role string, zone, number int) *Machine {
	m := &Machine{lab: l, role: role, zone: zones[zone], ip: l.ip(number)}
	class := map[string]string{"control": "core", "front": "front"}[role]
	m.name = fmt.Sprintf("%s-%s-%d", class, m.zone, number)
	if role == "control" {
		l.core = append(l.core, m)
	} else {
		l.fronts = append(l.fronts, m)
	}
	return m
}

// seedList returns the value of the setting seeds for some control hosts.
func (l *Lab) seedList(core []*Machine) string {
	var out []string
	for _, m := range core {
		out = append(out, l.address(m.ip, portControl))
	}
	return strings.Join(out, ",")
}

// settings returns the settings file that the platform writes for a machine.
func (m *Machine) settings(isFirstStart bool) string {
	l := m.lab
	lines := []string{
		"nodeName=" + m.name, "role=" + m.role, "serves=" + m.role, "ipAddress=" + m.ip,
		"zone=" + m.zone, "region=sofia", "zones.sofia-a=sofia", "zones.sofia-b=sofia", "zones.sofia-c=sofia",
		fmt.Sprintf("internalPortRange=%d,%d", l.firstPort+portPeer, l.firstPort+portPeer),
		"seeds=" + m.seeds, fmt.Sprintf("firstStart=%t", isFirstStart),
		"limits.cpuShare=0.4", "limits.cpuCores=1", "limits.memoryMb=284", "limits.fileDescriptors=4100",
		"limits.linkMbps=1000.0", "discovery=registry", "entry=virtual_ip",
		fmt.Sprintf("heartbeatIntervalMs=%d", heartbeatInterval.Milliseconds()),
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,experts",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000",
		"bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.gracePeriodS=8", "bounds.lossSlackMs=200",
		"bounds.configPropagationMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
		"bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.retryBudgetExtra=92",
		"bounds.recoveryS=12", "bounds.passMs=120", "bounds.stall_ms=1500", "bounds.fencingEnforced=true",
		"configurationMode=highest",
	}
	if m.role == "control" {
		lines = append(lines, "machineClass=core", "countsTowardTolerance=true", "limits.diskMb=128",
			"listenAddresses.control="+l.address(m.ip, portControl), "dataDirectory="+filepath.Join(l.dir, m.name, "data"))
	} else {
		lines = append(lines, "machineClass=front", "countsTowardTolerance=false", "limits.diskMb=0",
			"listenAddresses.front="+l.address(m.ip, portFront), "listenAddresses.ready="+l.address(m.ip, portReady))
	}
	return strings.Join(lines, "\n") + "\n"
}

// Start writes the settings file and starts the process.
func (m *Machine) Start(isFirstStart bool) error {
	folder := filepath.Join(m.lab.dir, m.name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	path := filepath.Join(folder, "node.conf")
	if err := os.WriteFile(path, []byte(m.settings(isFirstStart)), 0o644); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(m.lab.binary)
	cmd.Env = []string{"SASSAFRASPOST_BOOT=" + path, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The process ends with this one, however this one ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.startedAt = cmd, exited, time.Now()
	m.mu.Unlock()
	m.lab.record.Event("%s started, firstStart=%t", m.name, isFirstStart)
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Kill sends SIGKILL and waits for the end of the process.
func (m *Machine) Kill() {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
	m.lab.record.Event("%s killed", m.name)
}

// Terminate sends SIGTERM and waits for the end of the process. It returns false if the process still runs
// after the grace period.
func (m *Machine) Terminate() bool {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	m.lab.record.Event("SIGTERM to %s", m.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		m.lab.record.Event("%s ended", m.name)
		return true
	case <-time.After(gracePeriod):
		return false
	}
}

// StartedAt returns when the machine's process was started last.
func (m *Machine) StartedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startedAt
}

// Close ends all processes.
func (l *Lab) Close() {
	for _, m := range append(append([]*Machine(nil), l.core...), l.fronts...) {
		m.Kill()
	}
}

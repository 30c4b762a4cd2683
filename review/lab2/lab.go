package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// program is what the deploy file starts for each role.
const program = "target/sassafraspost-node"

// The ports of a machine, as offsets from the first port of the lab.
const (
	portPeer = iota
	portControl
	portFront
	portReady
	portWorker
	portCount
)

// The classes of machines that run the program, and what their roles serve.
const (
	classCore  = "core"
	classFront = "front"
)

// lab has the processes of one deployment. Each machine has a loopback address of its own, and all have
// the same ports.
type lab struct {
	dir       string
	firstPort int
	began     time.Time
	machines  []*machine

	// mu guards out.
	mu  sync.Mutex
	out *os.File
}

// machine is a machine with its process.
type machine struct {
	name, ip, zone, class string
	cmd                   *exec.Cmd
	isRunning             bool
}

func newLab(dir, record string) (*lab, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, began: time.Now(), out: out}
	l.firstPort, err = freePorts(address(1))
	return l, err
}

// address returns the loopback address of the machine with a number.
func address(number int) string { return fmt.Sprintf("127.%d.74.%d", 20+os.Getpid()%200, number) }

// freePorts returns the first of portCount consecutive ports that are free at an address.
func freePorts(ip string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if first+portCount < 1<<16 && arePortsFree(ip, first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no consecutive ports are free")
}

func arePortsFree(ip string, first int) bool {
	for port := first; port < first+portCount; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// record writes a line with the time since the start to the record of the case.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.out.WriteString(line)
	fmt.Print(line)
}

// add adds a machine in a zone, with an address of its own, and does not start it yet.
func (l *lab) add(class, zone string) *machine {
	number := len(l.machines) + 1
	m := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, number), ip: address(number), zone: zone, class: class}
	l.machines = append(l.machines, m)
	return m
}

// running returns the machines of a class whose processes run.
func (l *lab) running(class string) []*machine {
	return slices.DeleteFunc(slices.Clone(l.machines), func(m *machine) bool { return !m.isRunning || m.class != class })
}

// at returns the address of one of the ports of a machine.
func (l *lab) at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, l.firstPort+port) }

// controlAddress is where a machine serves operators and workers.
func (l *lab) controlAddress(m *machine) string { return l.at(m.ip, portControl) }

// seedCount is how many seeds the platform names.
const seedCount = 3

// start writes the settings of a machine with these seeds and starts its process.
func (l *lab) start(m *machine, seeds []*machine, isFirst bool) error {
	path := filepath.Join(l.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(l.settings(m, seeds[:seedCount], isFirst)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(l.dir, m.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.cmd = exec.Command(program)
	m.cmd.Env = []string{"SASSAFRASPOST_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + l.dir}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.isRunning = true
	l.record("%s is started at %s, first start %t", m.name, m.ip, isFirst)
	return nil
}

// roleLines returns the settings that differ between the classes of machines.
func (l *lab) roleLines(m *machine) []string {
	if m.class == classFront {
		return []string{
			"serves=front", "countsTowardTolerance=false",
			"listenAddresses.front=" + l.at(m.ip, portFront), "listenAddresses.ready=" + l.at(m.ip, portReady),
			"limits.cpuShare=0.384", "limits.memoryMb=184", "limits.fileDescriptors=4100", "limits.linkMbps=40.0", "limits.diskMb=0",
		}
	}
	return []string{
		"serves=control", "countsTowardTolerance=true", "listenAddresses.control=" + l.controlAddress(m),
		"dataDirectory=" + filepath.Join(l.dir, m.name+"-data"),
		"limits.cpuShare=0.48", "limits.memoryMb=280", "limits.fileDescriptors=4096", "limits.linkMbps=1000.0", "limits.diskMb=128",
	}
}

// settings returns the settings file of a machine, as DEPLOY.md has it, with the values of Trotro's grown
// deployment.
func (l *lab) settings(m *machine, seeds []*machine, isFirst bool) string {
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, l.controlAddress(s))
	}
	lines := []string{
		"nodeName=" + m.name, "machineClass=" + m.class, "ipAddress=" + m.ip, "zone=" + m.zone, "region=accra",
		fmt.Sprintf("internalPortRange=%d,%d", l.firstPort+portPeer, l.firstPort+portPeer),
		"seeds=" + strings.Join(addresses, ","), fmt.Sprintf("firstStart=%t", isFirst),
		"limits.cpuCores=1", "discovery=registry", "entry=virtual_ip",
		"heartbeatIntervalMs=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,experts",
		"faultTolerance.machines=2", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=4000", "bounds.ackTimeoutMs=5000",
		"bounds.catchUpS=6", "bounds.drainMs=2500", "bounds.gracePeriodS=8", "bounds.lossSlackMs=200",
		"bounds.configPropagationMs=2500", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=6000",
		"bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.retryBudgetExtra=242",
		"bounds.recoveryS=15", "bounds.passMs=200", "bounds.retryAfterS=0", "bounds.stall_ms=1500",
		"bounds.fencingEnforced=true", "configurationMode=highest",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone+"=accra")
	}
	return strings.Join(append(lines, l.roleLines(m)...), "\n") + "\n"
}

// kill ends the process of a machine, as the loss of the machine does.
func (l *lab) kill(m *machine) {
	if !m.isRunning {
		return
	}
	m.isRunning = false
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	l.record("%s is gone", m.name)
}

// close ends all processes.
func (l *lab) close() {
	for _, m := range l.machines {
		l.kill(m)
	}
	_ = l.out.Close()
}

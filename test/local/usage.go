package local

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ticksPerSecond is the number of clock ticks a second (USER_HZ) in which /proc/PID/stat counts
// CPU time.
const ticksPerSecond = 100

// Usage is the memory that a process uses and the CPU time that it has used.
type Usage struct {
	// Resident is the resident set size in bytes.
	Resident int64
	CPU      time.Duration
}

// pid returns the id of the process. It returns false if the process was never started.
func (p *Process) pid() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0, false
	}
	return p.cmd.Process.Pid, true
}

// Usage reads the usage of the running process from /proc.
func (p *Process) Usage() (Usage, error) {
	pid, ok := p.pid()
	if !ok {
		return Usage{}, errors.Errorf("%s is not started", p.Name)
	}
	dir := fmt.Sprintf("/proc/%d", pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return Usage{}, err
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return Usage{}, errors.Errorf("no usage of %s", p.Name)
	}
	var values [3]int64
	for i, f := range []int{user, system, resident} {
		if values[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		Resident: values[2] * int64(os.Getpagesize()),
		CPU:      time.Duration(values[0]+values[1]) * time.Second / ticksPerSecond,
	}, nil
}

// Counters returns the counters of the hosts, summed by metric name.
func Counters(ctx context.Context, hosts []*Host) (map[string]int64, error) {
	sum := make(map[string]int64)
	for _, h := range hosts {
		if err := addCounters(ctx, h, sum); err != nil {
			return nil, err
		}
	}
	return sum, nil
}

// addCounters adds the counters of one host to sum.
func addCounters(ctx context.Context, h *Host, sum map[string]int64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.MetricsAddress+"/metrics", nil)
	if err != nil {
		return err
	}
	resp, err := freshClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var name string
		var value float64
		if _, err := fmt.Sscan(lines.Text(), &name, &value); err == nil {
			sum[name] += int64(value)
		}
	}
	return lines.Err()
}

// Descriptors returns how many file descriptors the process has open.
func (p *Process) Descriptors() (int, error) {
	pid, ok := p.pid()
	if !ok {
		return 0, errors.Errorf("%s is not started", p.Name)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(open), err
}

// UnreadBytes returns how many bytes have arrived on the TCP connections of a process and were not read. The process
// has the addresses for which isOwn returns true.
func UnreadBytes(isOwn func(ip string, port int) bool) (int64, error) {
	const (
		localColumn, stateColumn, queueColumn = 1, 3, 4
		listening                             = "0A"
	)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	var sum int64
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) <= queueColumn || columns[stateColumn] == listening || strings.HasSuffix(columns[queueColumn], ":00000000") {
			continue
		}
		var a, b, c, d byte
		var port int
		var sent, received int64
		if n, _ := fmt.Sscanf(columns[localColumn], "%02X%02X%02X%02X:%04X", &d, &c, &b, &a, &port); n < 5 {
			continue
		}
		if n, _ := fmt.Sscanf(columns[queueColumn], "%X:%X", &sent, &received); n == 2 && isOwn(fmt.Sprintf("%d.%d.%d.%d", a, b, c, d), port) {
			sum += received
		}
	}
	return sum, nil
}

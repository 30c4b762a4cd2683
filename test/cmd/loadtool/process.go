package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/test/local"
)

// Names under which entry hosts publish their counters.
const (
	requestsMetric = "sassafraspost_entry_requests"
	retriesMetric  = "sassafraspost_entry_retries"
)

// ticksPerSecond is the kernel's unit of process times.
const ticksPerSecond = 100

// child finds the folder in /proc of the own child process of this host's name.
func child(name string) (string, error) {
	lists, _ := filepath.Glob("/proc/self/task/*/children")
	for _, list := range lists {
		pids, _ := os.ReadFile(list)
		for _, pid := range strings.Fields(string(pids)) {
			args, _ := os.ReadFile("/proc/" + pid + "/cmdline")
			if strings.Contains(string(args), "/"+name+".ini") {
				return "/proc/" + pid, nil
			}
		}
	}
	return "", errors.Errorf("no child process %s", name)
}

// memory is the resident memory of a child process, in MiB.
func memory(name string) (float64, error) {
	dir, err := child(name)
	if err != nil {
		return 0, err
	}
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kib / 1024, err
		}
	}
	return 0, errors.Errorf("no resident memory of %s", name)
}

// cpu is the processor time that a child process has used.
func cpu(name string) (time.Duration, error) {
	dir, err := child(name)
	if err != nil {
		return 0, err
	}
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, errors.Errorf("no times of %s", name)
	}
	ticks := 0
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// counters sums the counters of some hosts by name.
func counters(ctx context.Context, hosts []*local.Host) (map[string]int64, error) {
	sum := make(map[string]int64)
	for _, h := range hosts {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Metrics+"/metrics", nil)
		if err != nil {
			return nil, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			var name string
			var value float64
			if _, err := fmt.Sscan(lines.Text(), &name, &value); err == nil {
				sum[name] += int64(value)
			}
		}
		_ = resp.Body.Close()
	}
	return sum, nil
}

package daemon

import (
	"math"
	"runtime/debug"
	"syscall"

	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/inifile"
	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/settings"
)

// memoryLimitFraction is the fraction of a stated memory above which the garbage collector runs more often. The rest
// is for what it does not count.
const memoryLimitFraction = 0.7

// machineOf returns what the process may use: what the settings state, else what the operating system reports.
func machineOf(h settings.Host) inbound.Machine {
	m := inbound.Machine{MemoryMB: int(h.Memory / inifile.MiB), Descriptors: h.Descriptors}
	if m.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(h.Memory)))
	} else {
		m.MemoryMB = installedMemoryMB()
	}
	if m.Descriptors == 0 {
		m.Descriptors = descriptorLimit()
	}
	return m
}

// installedMemoryMB returns the memory of the machine in megabytes, 0 if it is not known.
func installedMemoryMB() int {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int(info.Totalram * uint64(info.Unit) >> 20)
}

// descriptorLimit returns how many descriptors the process may have, 0 if it is not known.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// bufferLimits returns the limits of what the process holds for its clients.
func bufferLimits(memoryMB int) memory.Limits {
	l := memory.LimitsFor(memoryMB)
	return memory.Limits{Total: min(l.Total, entry.DefaultMaxBuffered), Connection: min(l.Connection, entry.DefaultMaxBuffered)}
}

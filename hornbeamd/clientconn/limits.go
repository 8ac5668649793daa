package clientconn

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"go.uber.org/zap"

	"hornbeamstep.example/hornbeamd/memory"
)

// Limits are the limits of the process. 0 means that they are not stated.
type Limits struct {
	// MemoryBytes is the maximum resident memory.
	MemoryBytes int64
	// Descriptors is the maximum number of open file descriptors.
	Descriptors int
}

const (
	// goMemoryPercent is the part of the memory to which the garbage collector keeps the program. The rest
	// is for the program's text, for sockets, and for what is allocated while a collection runs.
	goMemoryPercent = 60
	// requestPercent is the part of the memory for the heads and bodies of requests, and connPercent that
	// for the connections, each of which takes connBytes in goroutines and buffers.
	requestPercent, connPercent = 20, 20
	connBytes                   = 24 << 10
	// fileDescriptors are reserved for files, and clientPercent is the part of the others for clients. The
	// rest is for connections to backend servers, the store and other routers.
	fileDescriptors, clientPercent = 200, 75
	// minConns and minRequestBytes keep a router with unusually low limits in operation.
	minConns, minRequestBytes = 64, 8 << 20
)

// WithDefaults returns the limits with those of the machine in place of those that are not stated.
func (l Limits) WithDefaults() Limits {
	if l.MemoryBytes <= 0 {
		l.MemoryBytes = machineMemory()
	}
	if l.Descriptors <= 0 {
		l.Descriptors = maxDescriptors()
	}
	return l
}

// Apply makes the garbage collector keep to the limits, which must be stated.
func (l Limits) Apply() { debug.SetMemoryLimit(l.MemoryBytes / 100 * goMemoryPercent) }

// New returns a guard for a process with the given limits.
func New(l Limits, log *zap.Logger) *Guard {
	l = l.WithDefaults()
	return &Guard{
		MaxConns: max(minConns, min(clientPercent*(l.Descriptors-fileDescriptors)/100, int(l.MemoryBytes/100*connPercent/connBytes))),
		Account:  memory.New(max(minRequestBytes, int(l.MemoryBytes/100*requestPercent))), Log: log,
	}
}

// maxDescriptors returns the limit of the operating system.
func maxDescriptors() int {
	const unknown = 1024
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return unknown
	}
	return int(min(limit.Cur, 1<<20))
}

// machineMemory returns the memory of the control group or of the machine, whichever is less.
func machineMemory() int64 {
	const unknown = 1 << 30
	total := int64(unknown)
	if info, err := os.ReadFile("/proc/meminfo"); err == nil {
		total = parseTotal(info, unknown)
	}
	if text, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		// It is "max" if there is no limit.
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && limit > 0 {
			total = min(total, limit)
		}
	}
	return total
}

// parseTotal returns the value of MemTotal, or the default if there is none.
func parseTotal(info []byte, defaultValue int64) int64 {
	lines := bufio.NewScanner(bytes.NewReader(info))
	for lines.Scan() {
		var kilobytes int64
		if _, err := fmt.Sscanf(lines.Text(), "MemTotal: %d kB", &kilobytes); err == nil && kilobytes > 0 {
			return kilobytes << 10
		}
	}
	return defaultValue
}

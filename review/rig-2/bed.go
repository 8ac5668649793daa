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

// bed is a small deployment: a store, workers and routers, each router with a loopback address of its own.
type bed struct {
	root, folder string
	store        *store
	started      time.Time
	subnet       int
	ports        [7]int
	routers      []*router

	mu     sync.Mutex
	record *os.File
	runs   []*run
	number int
}

func newBed() (*bed, error) {
	root, folder := os.Getenv("RIG_ROOT"), os.Getenv("RIG_TMP")
	record, err := os.Create(os.Getenv("RIG_RECORD"))
	if err != nil {
		return nil, err
	}
	b := &bed{root: root, folder: folder, started: time.Now(), subnet: 16 + os.Getpid()%200, record: record}
	if b.store, err = newStore(b.ip(250)); err != nil {
		return nil, err
	}
	return b, b.choosePorts()
}

// ip returns a loopback address of this deployment.
func (b *bed) ip(host int) string { return fmt.Sprintf("127.%d.7.%d", b.subnet, host) }

// choosePorts chooses ports that are free on the first router's address.
func (b *bed) choosePorts() error {
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for i := range b.ports {
		l, err := net.Listen("tcp", net.JoinHostPort(b.ip(1), "0"))
		if err != nil {
			return err
		}
		open = append(open, l)
		b.ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

func (b *bed) nextNumber() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number++
	return b.number
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

func (b *bed) addRun(x *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, x)
}

// runsOf returns the runs of a client attempt.
func (b *bed) runsOf(id string) []*run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*run
	for _, x := range b.runs {
		if x.id == id {
			out = append(out, x)
		}
	}
	return out
}

// router is a process of the project on a machine of its own.
type router struct {
	bed          *bed
	name, ip     string
	settings     string
	log          *os.File
	mu           sync.Mutex
	process      *exec.Cmd
	exited       chan struct{}
	expectedExit bool
}

const settingsText = `node_name=%[1]s
role=router
machine_class=edge
serves=edge,control_plane,registry
ip=%[2]s
zone=kariakoo
region=dar
zones.kariakoo=dar
zones.mikocheni=dar
zones.ubungo=dar
listen.front=%[2]s:%[3]d
listen.readiness=%[2]s:%[4]d
listen.control=%[2]s:%[5]d
listen.directory=%[2]s:%[6]d
port_range=%[7]d,%[8]d
seeds=%[9]s
bootstrap=%[11]t
loss_counts=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=registry
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.fail_closed=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.budget_slack=56
bounds.recover_s=12
bounds.pass_ms=120
bounds.reuse_window_s=10
bounds.cap_x=2
bounds.ttl_max_s=5
platform.address=%[10]s
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

// addRouters writes the settings of n routers and starts them.
func (b *bed) addRouters(n int) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", b.ip(i+1), b.ports[2]))
	}
	for i := range n {
		r := &router{bed: b, name: fmt.Sprintf("edge-%d", i+1), ip: b.ip(i + 1)}
		r.settings = filepath.Join(b.folder, r.name+".conf")
		var err error
		if r.log, err = os.Create(filepath.Join(b.folder, r.name+".log")); err != nil {
			return err
		}
		b.routers = append(b.routers, r)
		if err := r.start(true, seeds); err != nil {
			return err
		}
	}
	return nil
}

func (r *router) start(first bool, seeds []string) error {
	b := r.bed
	if seeds == nil {
		for _, o := range b.routers[:min(3, len(b.routers))] {
			seeds = append(seeds, fmt.Sprintf("%s:%d", o.ip, b.ports[2]))
		}
	}
	text := fmt.Sprintf(settingsText, r.name, r.ip, b.ports[0], b.ports[1], b.ports[2], b.ports[3], b.ports[4], b.ports[4], strings.Join(seeds, ","), b.store.address, first)
	if err := os.WriteFile(r.settings, []byte(text), 0o644); err != nil {
		return err
	}
	// The command of the deploy file; its metrics port is one that the deploy file fixes.
	cmd := exec.Command(filepath.Join(b.root, "target", "hornbeamd"), "edge")
	cmd.Dir = b.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMSTEP_BOOT=" + r.settings}
	cmd.Stdout, cmd.Stderr = r.log, r.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.process, r.exited, r.expectedExit = cmd, exited, false
	r.mu.Unlock()
	b.note("router %s starts as process %d", r.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		r.mu.Lock()
		expected := r.expectedExit
		r.mu.Unlock()
		b.note("router %s has ended (%v, expected: %t)", r.name, err, expected)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the router's process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	r.expectedExit = true
	process := r.process
	r.mu.Unlock()
	r.bed.note("router %s gets %v", r.name, s)
	_ = process.Process.Signal(s)
}

func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	<-r.exited
}

func (r *router) front() string { return fmt.Sprintf("%s:%d", r.ip, r.bed.ports[0]) }
func (r *router) readiness() string {
	return fmt.Sprintf("%s:%d", r.ip, r.bed.ports[1])
}

// close ends all processes.
func (b *bed) close() {
	for _, r := range b.routers {
		r.mu.Lock()
		r.expectedExit = true
		process := r.process
		r.mu.Unlock()
		if process != nil {
			_ = process.Process.Kill()
			<-r.exited
		}
	}
	_ = b.record.Close()
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// router is a router process of the project, started with the command of the deploy file.
type router struct {
	name, ip, zone string
	ports          ports
	settingsFile   string
	folder         string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// ports are the same on all machines.
type ports struct{ front, readiness, control, directory, first int }

// memoryMB and the other limits are those of the small installation (DEPLOY.md, mbp-dar).
const memoryMB = 284

// metricsPort is where the program serves metrics if it is started with the command of the deploy file.
const metricsPort = 9464

// freeAddresses returns the first three bytes of addresses for n machines, and ports that are free on
// all of them. The metrics port is free there too.
func freeAddresses(n int) (prefix string, p ports) {
	for range 50 {
		prefix = fmt.Sprintf("127.%d.%d.", 32+rand.IntN(200), rand.IntN(250))
		base := 20000 + 10*rand.IntN(1000)
		p = ports{base, base + 1, base + 2, base + 3, base + 4}
		free := true
		for i := range n {
			for _, port := range []int{p.front, p.readiness, p.control, p.directory, p.first, metricsPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, i+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, p
		}
	}
	cannotRun("found no free addresses")
	return "", ports{}
}

func (p ports) at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func newRouter(folder, name, ip, zone string, p ports, storeAddress string, seeds []string) *router {
	r := &router{name: name, ip: ip, zone: zone, ports: p, folder: folder, settingsFile: filepath.Join(folder, name+".conf")}
	content := fmt.Sprintf(`node_name=%[1]s
role=router
machine_class=edge
serves=edge,control_plane,registry
ip=%[2]s
zone=%[3]s
region=dar
zones.kariakoo=dar
zones.mikocheni=dar
zones.ubungo=dar
listen.front=%[2]s:%[4]d
listen.readiness=%[2]s:%[5]d
listen.control=%[2]s:%[6]d
listen.directory=%[2]s:%[7]d
port_range=%[8]d,%[8]d
seeds=%[9]s
bootstrap=true
loss_counts=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=%[10]d
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
platform.address=%[11]s
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`, name, ip, zone, p.front, p.readiness, p.control, p.directory, p.first, strings.Join(seeds, ","), memoryMB, storeAddress)
	if err := os.WriteFile(r.settingsFile, []byte(content), 0o600); err != nil {
		cannotRun("write settings: %v", err)
	}
	return r
}

func (r *router) front() string { return r.ports.at(r.ip, r.ports.front) }

var (
	startedMu sync.Mutex
	started   []*exec.Cmd
	// ending is true once no further process may be started.
	ending bool
)

// start starts the process.
func (r *router) start() {
	log, err := os.OpenFile(filepath.Join(r.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("open log: %v", err)
	}
	cmd := exec.Command(program, "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "HORNBEAMSTEP_BOOT=" + r.settingsFile}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	startedMu.Lock()
	if ending {
		startedMu.Unlock()
		_ = log.Close()
		return
	}
	err = cmd.Start()
	if err == nil {
		started = append(started, cmd)
	}
	startedMu.Unlock()
	_ = log.Close()
	if err != nil {
		cannotRun("start the router: %v", err)
	}
	r.mu.Lock()
	r.cmd = cmd
	r.mu.Unlock()
}

func (r *router) process() *exec.Cmd {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd
}

// kill ends the process with SIGKILL and waits for its end.
func (r *router) kill() {
	cmd := r.process()
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// residentBytes returns the memory of the process that the platform counts, without what the kernel
// holds for its sockets.
func (r *router) residentBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", r.process().Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// awaitReady waits until the router says that it is ready.
func (r *router) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + r.ports.at(r.ip, r.ports.readiness) + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	cannotRun("router %s isn't ready", r.name)
}

func endAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	ending = true
	for _, cmd := range started {
		if cmd.Process != nil {
			_ = cmd.Process.Kill()
		}
	}
	for _, cmd := range started {
		_ = cmd.Wait()
	}
}

// startRouters starts a deployment of n routers in the three zones and waits until all are ready.
func startRouters(s *store, n int) []*router {
	prefix, p := freeAddresses(n)
	ip := func(i int) string { return fmt.Sprintf("%s%d", prefix, i+1) }
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, p.at(ip(i), p.control))
	}
	zones := []string{"kariakoo", "mikocheni", "ubungo"}
	var routers []*router
	for i := range n {
		routers = append(routers, newRouter(tempFolder, fmt.Sprintf("edge-%s-%d", zones[i%3], i/3+1), ip(i), zones[i%3], p, s.address, seeds))
	}
	for _, r := range routers {
		r.start()
	}
	for _, r := range routers {
		r.awaitReady()
	}
	return routers
}

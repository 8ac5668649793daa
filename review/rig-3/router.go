package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// router is one of the project's routers, as a separate process.
type router struct {
	Name, Zone, IP string
	ports          ports
	settings, log  string
	binary         string
	cmd            *exec.Cmd
	done           chan struct{}
}

type ports struct{ front, readiness, control, directory, first, last int }

// zones are those of a small deployment.
var zones = []string{"kariakoo", "mikocheni", "ubungo"}

func (r *router) front() string     { return fmt.Sprintf("%s:%d", r.IP, r.ports.front) }
func (r *router) readiness() string { return fmt.Sprintf("%s:%d", r.IP, r.ports.readiness) }

// newRouters prepares routers on loopback addresses with free ports, which are the same on all of them.
func newRouters(n int, binary, dir, storeAddress string, extra map[string]string) ([]*router, error) {
	p, err := freePorts(n)
	if err != nil {
		return nil, err
	}
	var all []*router
	var seeds []string
	for i := range n {
		r := &router{Name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), Zone: zones[i%len(zones)], IP: routerIP(i), ports: p, binary: binary}
		r.settings, r.log = filepath.Join(dir, r.Name+".conf"), filepath.Join(dir, r.Name+".log")
		all = append(all, r)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", r.IP, p.control))
		}
	}
	for _, r := range all {
		values := [][2]string{
			{"node_name", r.Name}, {"role", "router"}, {"machine_class", "edge"}, {"serves", "edge,control_plane,registry"}, {"ip", r.IP}, {"zone", r.Zone}, {"region", "dar"},
			{"zones.kariakoo", "dar"}, {"zones.mikocheni", "dar"}, {"zones.ubungo", "dar"},
			{"listen.front", r.front()}, {"listen.readiness", r.readiness()}, {"listen.control", fmt.Sprintf("%s:%d", r.IP, p.control)},
			{"listen.directory", fmt.Sprintf("%s:%d", r.IP, p.directory)}, {"port_range", fmt.Sprintf("%d,%d", p.first, p.last)}, {"seeds", strings.Join(seeds, ",")},
			{"bootstrap", "true"}, {"loss_counts", "false"}, {"limits.cpu_share", "0.4"}, {"limits.cores", "1"}, {"limits.memory_mb", "284"}, {"limits.max_fds", "4100"},
			{"limits.link_mbps", "1000.0"}, {"limits.disk_mb", "0"}, {"discovery", "platform"}, {"entry", "registry"}, {"heartbeat_ms", "1200"},
			{"contracts", "base,drain,config,cost,retry,recover,engine,stream,tenants,platform"},
			{"fault_tolerance.machines", "2"}, {"fault_tolerance.zones", "0"}, {"fault_tolerance.regions", "0"},
			{"bounds.seed_lag_s", "3"}, {"bounds.addr_reuse_s", "2"}, {"bounds.contact_ms", "3000"}, {"bounds.ack_ms", "4000"}, {"bounds.catch_up_s", "4"},
			{"bounds.drain_ms", "2000"}, {"bounds.grace_s", "8"}, {"bounds.loss_slack_ms", "200"}, {"bounds.config_apply_ms", "2000"}, {"bounds.rollback_slack_ms", "250"},
			{"bounds.max_skew_ms", "5000"}, {"bounds.fail_closed", "false"}, {"bounds.revoke_ms", "5000"}, {"bounds.retry_budget_ratio", "0.2"}, {"bounds.retry_window_s", "10"},
			{"bounds.budget_slack", "56"}, {"bounds.recover_s", "12"}, {"bounds.pass_ms", "120"}, {"bounds.reuse_window_s", "10"}, {"bounds.cap_x", "2"}, {"bounds.ttl_max_s", "5"},
			{"platform.address", storeAddress}, {"platform.form", "objects"}, {"platform.writes_per_s", "400"}, {"platform.reads_per_s", "2000"}, {"platform.history_s", "20"},
			{"platform.value_bytes", "1048576"}, {"platform.ttl_min_ms", "1000"},
		}
		var text strings.Builder
		for _, v := range values {
			if other, ok := extra[v[0]]; ok {
				v[1] = other
			}
			fmt.Fprintf(&text, "%s=%s\n", v[0], v[1])
		}
		if err := os.WriteFile(r.settings, []byte(text.String()), 0o600); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// block is the third number of the routers' loopback addresses.
var block int

func routerIP(i int) string { return fmt.Sprintf("127.0.%d.%d", block, i+1) }

// freePorts chooses a block of loopback addresses and ports that are free on the addresses of n routers. It
// begins elsewhere in each process, for cases that run at the same time.
func freePorts(n int) (ports, error) {
	for try := range 20 {
		block = 10 + (os.Getpid()+7*try)%200
		if !areFree(n, metricsPort, 1) {
			continue
		}
		for base := 21000 + (os.Getpid()%400)*20; base < 32000; base += 20 {
			if areFree(n, base, 20) {
				return ports{base, base + 1, base + 2, base + 3, base + 4, base + 19}, nil
			}
		}
	}
	return ports{}, errors.New("no free ports")
}

// areFree reports whether count ports from first on are free on the addresses of n routers.
func areFree(n, first, count int) bool {
	for i := range n {
		for port := first; port < first+count; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", routerIP(i), port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// start starts the process with the command of the deploy file.
func (r *router) start() error {
	out, err := os.OpenFile(r.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	r.cmd = exec.Command(r.binary, "edge")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMSTEP_BOOT=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = out, out
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.done = make(chan struct{})
	startedMutex.Lock()
	started = append(started, r)
	startedMutex.Unlock()
	go func(cmd *exec.Cmd, done chan struct{}) {
		cmd.Wait()
		out.Close()
		close(done)
	}(r.cmd, r.done)
	return nil
}

func (r *router) signal(s syscall.Signal) { r.cmd.Process.Signal(s) }

func (r *router) kill() {
	if r.cmd != nil && r.cmd.Process != nil {
		r.cmd.Process.Signal(syscall.SIGCONT)
		r.cmd.Process.Kill()
		<-r.done
	}
}

var (
	startedMutex sync.Mutex
	started      []*router
)

// killStarted kills all routers that were started.
func killStarted() {
	startedMutex.Lock()
	defer startedMutex.Unlock()
	for _, r := range started {
		r.kill()
	}
}

// awaitReady waits until the router says that it is ready.
func (r *router) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + r.readiness() + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %s", r.Name, limit)
}

// metricsPort is the port for metrics that the deploy file names.
const metricsPort = 9464

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// router is one process of the deploy file's role.
type router struct {
	name, zone, ip  string
	settings        string
	front, ready    string
	cmd             *exec.Cmd
	exited          chan struct{}
	exitErr         error
	rec             *recorder
	binary, dir     string
	env             []string
	logFile         string
	mu              sync.Mutex
	starts          int
	wantedExit      bool
	unexpectedExits int
}

// fleet is a small deployment of the project's routers with stand-ins for everything else.
type fleet struct {
	rec      *recorder
	store    *store
	routers  []*router
	replicas []*replica
	block    string // the first octets of the loopback addresses
	dir      string
	root     string
	graceS   int
}

const (
	frontPort   = "8227"
	readyPort   = "8220"
	controlPort = "8229"
	metricsPort = "9464"
)

// newFleet starts the store. The binary is the one that the build of the deploy file makes.
func newFleet(rec *recorder) (*fleet, error) {
	root := os.Getenv("REVIEW_ROOT")
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, store: newStore(), dir: dir, root: root, graceS: 8}
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		if isFree(block) {
			f.block = block
			break
		}
	}
	return f, f.store.start(f.block + ".200")
}

func isFree(block string) bool {
	for i := 1; i <= 9; i++ {
		for _, port := range []string{frontPort, readyPort, controlPort, metricsPort, "7340"} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", block, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// addRouters makes n routers without starting them.
func (f *fleet) addRouters(n int) {
	for i := range n {
		ip := fmt.Sprintf("%s.%d", f.block, i+1)
		r := &router{
			name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], ip: ip, rec: f.rec,
			front: ip + ":" + frontPort, ready: ip + ":" + readyPort,
			settings: filepath.Join(f.dir, fmt.Sprintf("edge-%d.ini", i+1)), binary: filepath.Join(f.root, "target/peridotusher"),
			dir: f.root, logFile: filepath.Join(f.dir, fmt.Sprintf("edge-%d.log", i+1)),
		}
		f.routers = append(f.routers, r)
		f.writeSettings(r, "")
	}
}

// writeSettings renders deploy/edge.ini with the fields of DEPLOY.md.
func (f *fleet) writeSettings(r *router, extra string) {
	var seeds []string
	for i := range min(3, max(len(f.routers), 1)) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%s", f.block, i+1, controlPort))
	}
	text := fmt.Sprintf(`[router]
name = %s
zone = %s
zones = zone-a:region-a,zone-b:region-a,zone-c:region-a
memory = 284
files = 4100

[listen]
clients = %s
ready = %s

[peers]
address = %s
ports = 7340,7355
seeds = %s

[store]
address = %s

[bounds]
drain = 2000ms
stop = %ds
ratio = 0.2
extra = 56
window = 10s
multiple = 2

[admission]
contracts = base,drain,config,cost,retry,recover,engine,stream,tenants,platform
%s`, r.name, r.zone, r.front, r.ready, r.ip, strings.Join(seeds, ","), f.store.addr, f.graceS, extra)
	_ = os.WriteFile(r.settings, []byte(text), 0o600)
}

// start starts the process with the command of deploy/system.toml.
func (r *router) start() error {
	log, err := os.OpenFile(r.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(r.binary, "platform", "--metrics", metricsPort)
	cmd.Dir = r.dir
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTUSHER_CONFIG=" + r.settings}, r.env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.cmd, r.exited, r.wantedExit = cmd, make(chan struct{}), false
	r.starts++
	exited := r.exited
	r.mu.Unlock()
	started.mu.Lock()
	started.cmds = append(started.cmds, cmd)
	started.mu.Unlock()
	r.rec.add("%s starts", r.name)
	go func() {
		err := cmd.Wait()
		r.mu.Lock()
		r.exitErr = err
		if !r.wantedExit {
			r.unexpectedExits++
		}
		r.mu.Unlock()
		how := "exit status 0"
		if err != nil {
			how = err.Error()
		}
		r.rec.add("%s has ended: %s", r.name, how)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. After SIGTERM and SIGKILL it may end.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		r.wantedExit = true
	}
	p := r.cmd.Process
	r.mu.Unlock()
	r.rec.add("%s gets %s", r.name, s)
	_ = p.Signal(s)
}

func (r *router) hasExited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// isReady asks the readiness address as the platform does.
func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + r.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all routers and waits until they are ready.
func (f *fleet) startAll() error {
	for _, r := range f.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	return f.awaitReady(10 * time.Second)
}

func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, r := range f.routers {
		for !r.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// started holds all processes, so that they can be ended if a case takes too long.
var started struct {
	mu   sync.Mutex
	cmds []*exec.Cmd
}

// killAll ends all processes that were started.
func killAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, cmd := range started.cmds {
		_ = cmd.Process.Kill()
	}
}

// end ends all processes and removes the folder.
func (f *fleet) end() {
	for _, r := range f.routers {
		if r.cmd == nil || r.hasExited() {
			continue
		}
		r.mu.Lock()
		r.wantedExit = true
		r.mu.Unlock()
		_ = r.cmd.Process.Kill()
		<-r.exited
	}
	for _, r := range f.replicas {
		r.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// addReplicas starts n replicas of a service, one zone after the other.
func (f *fleet) addReplicas(service string, n, slots int, serve func(x *arrival) bool) error {
	for i := range n {
		r := &replica{
			id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zones[i%len(zones)], slots: slots,
			store: f.store, rec: f.rec, serve: serve,
		}
		if err := r.start(fmt.Sprintf("%s.%d", f.block, 100+len(f.replicas))); err != nil {
			return err
		}
		f.replicas = append(f.replicas, r)
	}
	return nil
}

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path-prefix"`
	Service     string `json:"service"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeout-ms"`
	TargetMs    int    `json:"target-latency-ms"`
	GapMs       int    `json:"gap-target-ms,omitempty"`
	MaxAttempts int    `json:"max-attempts"`
	Priority    int    `json:"priority"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resume      bool   `json:"stream-resume"`
}

const (
	host   = "shop.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// configuration is what the operator writes.
func configuration(version int, services []string, routes []route) []byte {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false})
	}
	text, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api-keys": []string{apiKey}, "priority": 1}},
	})
	return text
}

package main

import (
	"context"
	"errors"
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
	"sync/atomic"
	"syscall"
	"time"
)

// stage is the setting of one case: the store, the routers and the record.
type stage struct {
	trouble bool
	program string
	began   time.Time
	folder  string
	store   *store

	clientPort, readyPort, peerPort, metricsPort int

	mu        sync.Mutex
	record    *os.File
	closed    bool
	processes []*exec.Cmd
	listeners []net.Listener
}

// newStage starts the store. program is the router's, path that of the record.
func newStage(program, path string, trouble bool) (*stage, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &stage{trouble: trouble, program: program, began: time.Now(), folder: folder, record: record}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	s.clientPort, s.readyPort, s.peerPort, s.metricsPort = ports[0], ports[1], ports[2], ports[3]
	l, err := s.listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.store = newStore(l.Addr().String())
	go func() { _ = http.Serve(l, s.store) }() // ends with the listener
	s.say("trouble %v", trouble)
	return s, nil
}

// The range of the routers' ports. It is below that from which the system picks ports by itself.
const (
	firstPort = 20000
	portCount = 10000
)

// storeDoor returns an address of the store at which it turns all calls away with a 503 while refused is set.
func (s *stage) storeDoor(refused *atomic.Bool) (string, error) {
	l, err := s.listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		stopped := make(chan struct{})
		defer close(stopped)
		go cutWhen(refused, cancel, stopped)
		s.store.ServeHTTP(w, r.WithContext(ctx))
	})
	go func() { _ = http.Serve(l, handler) }() // ends with the listener
	return l.Addr().String(), nil
}

// cutWhen cuts a call that waits once the store turns its machine away.
func cutWhen(refused *atomic.Bool, cut func(), stopped <-chan struct{}) {
	const interval = 5 * time.Millisecond
	for {
		select {
		case <-stopped:
			return
		case <-time.After(interval):
			if refused.Load() {
				cut()
				return
			}
		}
	}
}

// freePorts returns count ports that are free on the address of the first router. They are so far apart that a
// range of internal ports fits between two of them.
func freePorts(count int) ([]int, error) {
	const gap = 20
	start := rand.IntN(portCount - gap*count)
	var ports []int
	for port := firstPort + start; len(ports) < count && port < firstPort+portCount; port += gap {
		l, err := net.Listen("tcp", net.JoinHostPort(hostIP(1), strconv.Itoa(port)))
		if err != nil {
			continue
		}
		_ = l.Close() // nothing was accepted
		ports = append(ports, port)
	}
	if len(ports) < count {
		return nil, errors.New("too few ports are free")
	}
	return ports, nil
}

// listen opens a listener that ends with the case.
func (s *stage) listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	return l, nil
}

// say writes a line to the record and to standard output.
func (s *stage) say(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line)
	fmt.Print(line)
}

// note writes a line to the record only.
func (s *stage) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line)
}

// close ends all processes that the case started.
func (s *stage) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for _, c := range s.processes {
		_ = c.Process.Kill() // it may have ended
	}
	for _, c := range s.processes {
		_ = c.Wait() // killed
	}
	for _, l := range s.listeners {
		_ = l.Close()
	}
	_ = os.RemoveAll(s.folder) // nothing depends on it
}

// start starts a process that ends with the case.
func (s *stage) start(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, c)
	return nil
}

// router is a router process.
type router struct {
	stage    *stage
	name     string
	ip       string
	zone     string
	store    string // address at which it reaches the store
	settings string // path of the settings
	process  *exec.Cmd
}

// bounds are the figures of the settings that cases change.
type bounds struct {
	ratio, extra float64
}

// smallBounds are those of the small installations.
var smallBounds = bounds{ratio: 0.2, extra: 56}

// settingsText fills in the template of the deploy file.
func (s *stage) settingsText(name, ip, zone, store string, seeds []string, b bounds) string {
	full := make([]string, len(seeds))
	for i, seed := range seeds {
		full[i] = fmt.Sprintf("%s:%d", seed, s.readyPort)
	}
	return strings.Join([]string{
		"[router]", "name = " + name, "zone = " + zone, "zones = zone-a:north,zone-b:north,zone-c:north",
		"memory = 284", "files = 4100", "",
		"[listen]", fmt.Sprintf("clients = %s:%d", ip, s.clientPort), fmt.Sprintf("ready = %s:%d", ip, s.readyPort), "",
		"[peers]", "address = " + ip, fmt.Sprintf("ports = %d,%d", s.peerPort, s.peerPort+15), "seeds = " + strings.Join(full, ","), "",
		"[store]", "address = " + store, "",
		"[bounds]", "drain = 2000ms", "stop = 8s", fmt.Sprintf("ratio = %v", b.ratio), fmt.Sprintf("extra = %v", b.extra), "window = 10s", "multiple = 2", "",
		"[admission]", "contracts = base,drain,config,cost,retry,recover,engine,stream,tenants,platform", "",
	}, "\n")
}

// newRouter writes the settings of a router and starts it. number is that of its host.
func (s *stage) newRouter(number int, seeds []string, b bounds) (*router, error) {
	return s.newRouterAt(number, s.store.address, seeds, b)
}

// newRouterAt does the same for a router that reaches the store at another address.
func (s *stage) newRouterAt(number int, store string, seeds []string, b bounds) (*router, error) {
	r := &router{
		stage: s, name: fmt.Sprintf("edge-%d", number), ip: hostIP(number), store: store, zone: []string{"zone-a", "zone-b", "zone-c"}[number%3],
		settings: filepath.Join(s.folder, fmt.Sprintf("edge-%d.ini", number)),
	}
	if err := r.write(seeds, b); err != nil {
		return nil, err
	}
	return r, r.start()
}

// hostIP returns the address of a router's host. Cases that run at the same time use others.
func hostIP(number int) string {
	const spread = 200
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/spread%spread, 1+pid%spread, number)
}

// write writes the settings.
func (r *router) write(seeds []string, b bounds) error {
	text := r.stage.settingsText(r.name, r.ip, r.zone, r.store, seeds, b)
	return os.WriteFile(r.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (r *router) start() error {
	log, err := os.OpenFile(r.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.process = exec.Command(r.stage.program, "platform", "--metrics", strconv.Itoa(r.stage.metricsPort))
	r.process.Env = []string{"PATH=" + os.Getenv("PATH"), "PERIDOTUSHER_CONFIG=" + r.settings}
	r.process.Stdout, r.process.Stderr = log, log
	return r.stage.start(r.process)
}

// signal sends a signal to the process.
func (r *router) signal(sig os.Signal) error { return r.process.Process.Signal(sig) }

// front returns the address for clients.
func (r *router) front() string { return fmt.Sprintf("%s:%d", r.ip, r.stage.clientPort) }

// awaitReady waits until all routers answer the platform's check with 200.
func awaitReady(routers ...*router) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, r := range routers {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", r.ip, r.stage.readyPort))
			if err != nil {
				break
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(routers) {
			return nil
		}
	}
	return fmt.Errorf("the routers did not become ready")
}

package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/hosts"
)

const (
	readyTimeout = time.Second
	tailBytes    = 2000
	// streamSecret is the secret with which a bed's routers sign the event ids of streams.
	streamSecret = "testbed-secret-of-at-least-32-characters"
	// OperatorKey is the operators' key in every bed.
	OperatorKey = "testbed-operator-key"
)

// Router is one router process.
type Router struct {
	Name     string
	Zone     string
	URL      string // for callers
	Operator string // URL for operators
	Peer     string // host:port for other routers

	bed      *Bed
	settings string
	logPath  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// AddRouter starts another router in the zone and adds it to the lists of hosts.
func (b *Bed) AddRouter(zone string) (*Router, error) {
	var addresses [3]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	name := fmt.Sprintf("router-%s%d", zone, len(b.Routers)+1)
	r := &Router{
		Name:     name,
		Zone:     zone,
		URL:      "http://" + addresses[0],
		Operator: "http://" + addresses[1],
		Peer:     addresses[2],
		bed:      b,
		settings: filepath.Join(b.opts.Dir, name+".ini"),
		logPath:  filepath.Join(b.opts.Dir, name+".log"),
	}
	b.Routers = append(b.Routers, r)
	if err := r.writeSettings(addresses); err != nil {
		return nil, err
	}
	if err := b.List(name, hosts.KindRouter, zone, r.Peer); err != nil {
		return nil, err
	}
	return r, r.Start()
}

// writeSettings writes the process's settings file. The router reaches the store and
// the list of hosts through fault proxies of its zone.
func (r *Router) writeSettings(addresses [3]string) error {
	b := r.bed
	storeAddress, err := b.Links.address(r.Zone, platformZone, "store-"+r.Name, b.Store.Listener.Addr().String())
	if err != nil {
		return err
	}
	listAddress, err := b.Links.address(r.Zone, platformZone, "list-"+r.Name, b.Lists[r.Zone].Listener.Addr().String())
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`[router]
name = %s
zone = %s
log = info
settle = 500ms
drain = 20s

[caller]
listen = %s

[operator]
listen = %s
key = %s

[peer]
listen = %s
advertise = %s
%s
[store]
addresses = %s
timeout = 1s

[hosts]
url = http://%s/
every = 200ms

[weights]
url = http://%s/

[stream]
secret = %s
`, r.Name, r.Zone, addresses[0], addresses[1], document.HashKey(OperatorKey), addresses[2], addresses[2], r.peerLines(), storeAddress, listAddress, b.Weights.Listener.Addr(), streamSecret)
	if b.opts.ExtraSettings != nil {
		text += b.opts.ExtraSettings(r.Name)
	}
	return os.WriteFile(r.settings, []byte(text), 0o600)
}

// peerLines returns the lines that the options add to the [peer] settings.
func (r *Router) peerLines() string {
	if r.bed.opts.ExtraPeerSettings == nil {
		return ""
	}
	return r.bed.opts.ExtraPeerSettings(r.Name)
}

// Start starts the process. A router that was stopped restarts at the same addresses.
func (r *Router) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	logFile, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	args := []string{"serve", "--settings", r.settings}
	if r.bed.opts.ExtraArgs != nil {
		args = append(args, r.bed.opts.ExtraArgs(r.Name)...)
	}
	cmd := exec.Command(r.bed.opts.Binary, args...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	if err := cmd.Start(); err != nil {
		return errors.CombineErrors(err, logFile.Close())
	}
	done := make(chan struct{})
	r.cmd = cmd
	r.done = done
	r.bed.group.Go(func() error {
		defer close(done)
		defer logFile.Close()
		err := cmd.Wait()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.err = err
		return nil
	})
	return nil
}

// Kill kills the process with SIGKILL and waits for its end.
func (r *Router) Kill() { r.signal(syscall.SIGKILL); r.Wait() }

// Terminate sends SIGTERM, which stops the process gracefully. Wait waits for its end.
func (r *Router) Terminate() { r.signal(syscall.SIGTERM) }

// Pause suspends the process until Resume.
func (r *Router) Pause() { r.signal(syscall.SIGSTOP) }

// Resume resumes a paused process.
func (r *Router) Resume() { r.signal(syscall.SIGCONT) }

// Wait waits for the end of the process and returns the error with which it ended.
func (r *Router) Wait() error {
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	if done == nil {
		return nil
	}
	<-done
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Running returns whether the process was started and has not ended.
func (r *Router) Running() bool {
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// PID returns the process's id.
func (r *Router) PID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return 0
	}
	return r.cmd.Process.Pid
}

// Ready returns whether the router passes its readiness check.
func (r *Router) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.URL+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// LogTail returns the end of the process's log.
func (r *Router) LogTail() string {
	text, err := os.ReadFile(r.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-tailBytes):])
}

func (r *Router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	// An error means that the process has already ended.
	_ = r.cmd.Process.Signal(s)
}

// The ports of the processes. They are below the system's ephemeral ports, because an
// outgoing connection could otherwise take a port before the process listens on it.
const (
	firstPort    = 12000
	ports        = 20000
	portAttempts = 100
)

// nextPort counts up from a random port, so that no port is assigned twice.
var nextPort = func() *atomic.Uint32 {
	n := &atomic.Uint32{}
	n.Store(rand.Uint32N(ports))
	return n
}()

// freeAddress returns a loopback address whose port was free when checked.
func freeAddress() (string, error) {
	var last error
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%ports)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
		last = err
	}
	return "", last
}

// LogPath returns the file that the process logs to.
func (r *Router) LogPath() string { return r.logPath }

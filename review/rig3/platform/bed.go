package main

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports, which are the same on all addresses of a play.
const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	peerPort    = 7340
	lastPort    = 7355
	metricsPort = 9464
	storePort   = 8223
	replicaPort = 8405
)

// Limits of the platform, as a small site states them.
const (
	beatInterval = 1200 * time.Millisecond
	// silentBeats is the number of intervals of silence after which the store removes an entry.
	silentBeats = 3
	drainTime   = 2 * time.Second
)

// The names in the configuration.
const (
	streamService = "fit-models"
	callService   = "profile-api"
	host          = "shop.example"
	apiKey        = "n2ctnfzs989anu6wsjnb"
	tenant        = "hule930"
)

// bed is a small deployment: a store, routers and replicas.
type bed struct {
	router  string // program
	net     string // first three numbers of the addresses
	folder  string // for settings and logs
	store   *store
	started time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	routers   map[int]*os.Process // by the last number of their addresses
	ended     bool
}

// replica is a replica as the platform sees it.
type replica struct {
	id, service, address string
	cmd                  *exec.Cmd
	bornAt               int64

	mu       sync.Mutex
	state    string
	seq      int
	cut      bool        // whether its beats do not reach the store
	ranAt    []time.Time // when it began to run requests
	lastBeat time.Time
	stopped  bool
}

func newBed(router, record string) (*bed, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	b := &bed{
		router: router, folder: folder, store: newStore(), started: time.Now(), record: out, routers: make(map[int]*os.Process),
		net: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)),
	}
	l, err := net.Listen("tcp4", b.address(1, storePort))
	if err != nil {
		return nil, err
	}
	go b.store.serve(l)
	return b, nil
}

func (b *bed) address(last, port int) string { return fmt.Sprintf("%s.%d:%d", b.net, last, port) }

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f "+format+"\n", append([]any{time.Since(b.started).Seconds()}, args...)...)
}

// start starts a process whose output goes to the given writer.
func (b *bed) start(out io.Writer, env []string, name string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(name, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.processes = append(b.processes, cmd)
	b.mu.Unlock()
	return cmd, nil
}

// end ends all processes and removes the folder.
func (b *bed) end() {
	b.mu.Lock()
	processes, ended := b.processes, b.ended
	b.ended = true
	b.mu.Unlock()
	if ended {
		return
	}
	for _, cmd := range processes {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()         // its exit says nothing
	}
	_ = os.RemoveAll(b.folder) // a temporary folder
}

const settingsText = `[router]
name = edge-%[2]d
zone = attica-a
zones = attica-a:attica
memory = 284
files = 4100

[listen]
clients = %[1]s.%[2]d:%[3]d
ready = %[1]s.%[2]d:%[4]d

[peers]
address = %[1]s.%[2]d
ports = %[5]d,%[6]d
seeds = %[1]s.11:%[7]d
[store]
address = %[1]s.1:%[8]d

[bounds]
drain = 2000ms
stop = 8s
ratio = 0.2
extra = 56
window = 10s
multiple = 2

[admission]
contracts = base,drain,config,cost,retry,recover,engine,stream,tenants,platform
`

// startRouter starts the router with the last number of its address, as the deploy file does.
func (b *bed) startRouter(last int) error {
	path := filepath.Join(b.folder, fmt.Sprintf("edge-%d.ini", last))
	text := fmt.Sprintf(settingsText, b.net, last, frontPort, readyPort, peerPort, lastPort, controlPort, storePort)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(b.folder, fmt.Sprintf("edge-%d.log", last)))
	if err != nil {
		return err
	}
	cmd, err := b.start(log, []string{"PERIDOTUSHER_CONFIG=" + path}, b.router, "platform", "--metrics", fmt.Sprint(metricsPort))
	if err != nil {
		return err
	}
	b.routers[last] = cmd.Process
	return nil
}

// freeze stops a router for a time, during which it calls do.
func (b *bed) freeze(last int, length time.Duration, do func() error) error {
	b.note("router %d is frozen (SIGSTOP)", last)
	until := time.Now().Add(length)
	if err := b.routers[last].Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := do()
	time.Sleep(time.Until(until))
	b.note("router %d goes on (SIGCONT)", last)
	return errors.Join(err, b.routers[last].Signal(syscall.SIGCONT))
}

// awaitReady waits until a router is ready.
func (b *bed) awaitReady(last int) error {
	for range 100 {
		resp, err := http.Get("http://" + b.address(last, readyPort) + "/-/readiness")
		if err == nil {
			_ = resp.Body.Close() // it is not read
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("router %d does not get ready", last)
}

// startReplica starts a replica, which registers and beats.
func (b *bed) startReplica(last int, service string) (*replica, error) {
	r := &replica{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, address: b.address(last, replicaPort), state: "ready"}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return r, b.runReplica(r, self)
}

// restartReplica starts a replica that has crashed again, under the id and at the address that it had.
func (b *bed) restartReplica(old *replica) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return b.runReplica(&replica{id: old.id, service: old.service, address: old.address, state: "ready"}, self)
}

// runReplica starts a replica's process and its beats.
func (b *bed) runReplica(r *replica, self string) (err error) {
	out, in := io.Pipe()
	if r.cmd, err = b.start(in, nil, self, "replica", r.address, r.id); err != nil {
		return err
	}
	r.bornAt = time.Now().UnixMilli()
	go b.noteOutput(r, out)
	go b.beat(r)
	b.note("replica %s of %s at %s", r.id, r.service, r.address)
	return nil
}

// runOther starts a server of another writer, which does not beat.
func (b *bed) runOther(o *replica, self string) (err error) {
	out, in := io.Pipe()
	if o.cmd, err = b.start(in, nil, self, "other", o.address); err != nil {
		return err
	}
	go b.noteOutput(o, out)
	b.note("server %s of another writer at %s", o.id, o.address)
	return nil
}

func (b *bed) noteOutput(r *replica, out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "run ") {
			r.mu.Lock()
			r.ranAt = append(r.ranAt, time.Now())
			r.mu.Unlock()
		}
		b.note("replica %s: %s", r.id, lines.Text())
	}
}

// busiest returns the replica that runs most requests.
func busiest(all []*replica) *replica {
	runs := func(r *replica) int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.ranAt)
	}
	return slices.MaxFunc(all, func(a, b *replica) int { return cmp.Compare(runs(a), runs(b)) })
}

// beat writes the replica's entry at intervals. The store removes an entry after silentBeats of silence.
func (b *bed) beat(r *replica) {
	for {
		r.mu.Lock()
		stopped, cut := r.stopped, r.cut
		r.mu.Unlock()
		if stopped {
			return
		}
		if !cut {
			b.writeEntry(r)
		}
		b.expireAfter(r)
		time.Sleep(beatInterval)
	}
}

// expireAfter removes the replica's entry unless it beats again in time.
func (b *bed) expireAfter(r *replica) {
	r.mu.Lock()
	last := r.lastBeat
	r.mu.Unlock()
	time.AfterFunc(time.Until(last.Add(silentBeats*beatInterval)), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.lastBeat.Equal(last) && r.state != "gone" {
			r.state = "gone"
			b.store.remove("servers/" + r.id)
			b.note("the store removes %s after %v of silence", r.id, silentBeats*beatInterval)
		}
	})
}

func (b *bed) writeEntry(r *replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "gone" {
		return
	}
	r.seq++
	r.lastBeat = time.Now()
	b.store.put("servers/"+r.id, r.entry())
}

// entry returns the replica's entry; r.mu is held.
func (r *replica) entry() map[string]any {
	slots := 64
	if r.service == callService {
		slots = 6
	}
	return map[string]any{
		"service": r.service, "addr": r.address, "zone": "attica-a", "version": "v1", "slots": slots,
		"state": r.state, "cold-remaining-ms": 0, "seq": r.seq, "born": r.bornAt,
	}
}

// sendLateBeat makes the replica write its entry once, with the next number. The call gets no answer, and the
// store executes it late: right after the first beat that comes later than the given time.
func (b *bed) sendLateBeat(r *replica, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	entry := r.entry()
	began := time.Now()
	b.note("replica %s writes seq %d, state %s: no answer of the store", r.id, r.seq, r.state)
	go func() {
		time.Sleep(late)
		for last := r.beatAt(); r.beatAt().Equal(last); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(beatInterval / 30)
		b.store.put("servers/"+r.id, entry)
		b.note("the store executes the write of seq %d of %s, state %s, after %v", entry["seq"], r.id, entry["state"], time.Since(began))
	}()
}

// beatAt returns when the replica wrote its entry last.
func (r *replica) beatAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastBeat
}

// reportDraining makes the replica report that it is draining.
func (b *bed) reportDraining(r *replica) {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	b.writeEntry(r)
	b.note("replica %s reports draining, accepted by the store", r.id)
}

// cutOff cuts the replica off from the store, or ends that.
func (b *bed) cutOff(r *replica, cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	b.note("replica %s is cut off from the store: %v", r.id, cut)
}

// crash kills the replica's process.
func (b *bed) crash(r *replica) error {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	b.note("replica %s crashes (SIGKILL)", r.id)
	return r.cmd.Process.Kill()
}

// exit ends the replica's process after a planned shutdown, and its entry.
func (b *bed) exit(r *replica) error {
	err := b.crash(r)
	b.store.remove("servers/" + r.id)
	return err
}

// configure writes the configuration.
func (b *bed) configure() {
	b.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-chat", "host": host, "path-prefix": streamPath, "kind": "streaming", "timeout-ms": 15000, "target-latency-ms": 1000,
				"priority": 0, "service": streamService, "max-attempts": 1, "public": false, "sticky": true, "stream-resume": false, "gap-target-ms": 600},
			map[string]any{"name": "r-save", "host": host, "path-prefix": "/save/", "kind": "non_idempotent", "timeout-ms": 1000, "target-latency-ms": 120,
				"priority": 2, "service": callService, "max-attempts": 1, "public": false, "sticky": false, "stream-resume": false},
			map[string]any{"name": "r-read", "host": host, "path-prefix": "/read/", "kind": "idempotent", "timeout-ms": 1000, "target-latency-ms": 120,
				"priority": 2, "service": callService, "max-attempts": 2, "public": false, "sticky": false, "stream-resume": false},
		},
		"services": []any{
			map[string]any{"name": streamService, "health-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv-capacity-tokens": 536661, "kv-bytes": 18432, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": callService, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []string{apiKey}, "priority": 1}},
	})
}

// deploy starts two routers, six replicas of the streaming service and three of the other one, and waits until
// all are in use.
func (b *bed) deploy() ([]*replica, error) {
	b.configure()
	var out []*replica
	for i := range 9 {
		service := streamService
		if i >= 6 {
			service = callService
		}
		r, err := b.startReplica(31+i, service)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	for _, last := range []int{11, 12} {
		if err := b.startRouter(last); err != nil {
			return nil, err
		}
	}
	for _, last := range []int{11, 12} {
		if err := b.awaitReady(last); err != nil {
			return nil, err
		}
	}
	b.note("the routers are ready")
	time.Sleep(4 * time.Second) // longer than stable-window-ms, so that the routers are in touch
	return out, nil
}

// result is what the consumer got for a request.
type result struct {
	id       string
	status   int
	signed   bool
	body     string
	complete bool // whether the answer ended as complete
	err      error
	took     time.Duration
}

// send sends a request through a router and reads its answer to the end.
func (b *bed) send(last int, method, path string, headers map[string]string, timeout time.Duration) result {
	id := fmt.Sprintf("%016x", rand.Uint64())
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.address(last, frontPort)+path, nil)
	if err != nil {
		return result{id: id, err: err}
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Key", apiKey)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	b.note("consumer sends %s %s %s to router %d", id, method, path, last)
	resp, err := (&http.Client{Transport: &http.Transport{DisableCompression: true}}).Do(r)
	if err != nil {
		b.note("consumer %s: no answer: %v", id, err)
		return result{id: id, err: err, took: time.Since(began)}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // it was read to its end
	out := result{id: id, status: resp.StatusCode, signed: resp.Header.Get("X-Replica-Signature") == "s."+id, body: string(body), complete: err == nil, err: err, took: time.Since(began)}
	b.note("consumer %s: status %d, signed %v, %d bytes, ends as complete %v (%v), after %v", id, out.status, out.signed, len(body), out.complete, err, out.took)
	return out
}

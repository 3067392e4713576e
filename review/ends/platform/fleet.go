package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fleet is a small deployment on loopback addresses: the store, routers of the deploy file and
// replicas as processes of their own.
type fleet struct {
	dir    string
	store  *store
	port   int
	record *record

	mu       sync.Mutex
	routers  []*router
	replicas map[string]*process
	beats    map[string]*beat
}

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
}

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.out, line)
}

// process is a process that the case started.
type process struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
	done  chan struct{}
	addr  string
}

// signal sends a signal.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.signal(syscall.SIGCONT)
	<-p.done
}

// router is a router process.
type router struct {
	*process
	ip, clients, ready, settings string
}

// beat is the entry of a replica, which is written again and again while it lives.
type beat struct {
	mu     sync.Mutex
	fields map[string]any
	seq    int
	stop   chan struct{}
}

const (
	heartbeat = 1200 * time.Millisecond
)

// newFleet starts the store of a fleet.
func newFleet(dir string, rec *record) (*fleet, error) {
	port, err := freePorts()
	if err != nil {
		return nil, err
	}
	st, err := newStore(fmt.Sprintf("%s:%d", hostIP(storeHost), port+20))
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, store: st, port: port, record: rec, replicas: make(map[string]*process), beats: make(map[string]*beat)}, nil
}

// hostIP returns the address of a host. Cases that run at the same time use others.
func hostIP(number int) string {
	const spread = 200
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/spread%spread, 1+pid%spread, number)
}

// The numbers of the hosts: routers from 1 on, replicas from replicaHost on, and the store's.
const (
	replicaHost = 50
	storeHost   = 100
)

// freePorts returns the first of some ports that are free on the hosts of a case. They are below the range from
// which the system picks ports by itself.
func freePorts() (int, error) {
	const first, last, step, count = 20000, 30000, 50, 24
	for port := first + os.Getpid()%100*step; port < last; port += step {
		if arePortsFree(port, count) {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

// arePortsFree reports whether ports are free on the hosts of a case.
func arePortsFree(first, count int) bool {
	for _, host := range []int{1, 2, 3, replicaHost, replicaHost + 1, replicaHost + 2, storeHost} {
		for n := range count {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", hostIP(host), first+n))
			if err != nil {
				return false
			}
			_ = l.Close() // nothing was accepted
		}
	}
	return true
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.beats {
		b.end()
	}
	for _, r := range f.routers {
		r.kill()
	}
	for _, p := range f.replicas {
		p.kill()
	}
}

// end ends the writing of the entry.
func (b *beat) end() {
	select {
	case <-b.stop:
	default:
		close(b.stop)
	}
}

// start starts a program. Its output goes to the record, or to a file if log is set.
func (f *fleet) start(log string, env []string, name string, args ...string) (*process, error) {
	cmd := exec.Command(name, args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, stdin: stdin, done: make(chan struct{})}
	if log != "" {
		file, err := os.Create(filepath.Join(f.dir, log))
		if err != nil {
			return nil, err
		}
		cmd.Stdout, cmd.Stderr = file, file
	} else {
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		cmd.Stderr = os.Stderr
		go func() {
			lines := bufio.NewScanner(out)
			for lines.Scan() {
				f.record.add("replica: %s", lines.Text())
			}
		}()
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = cmd.Wait() // how it ended does not matter
		close(p.done)
	}()
	return p, nil
}

// binary is the program of the deploy file.
const binary = "target/peridotusher"

// template is the text that the template of the deploy file gives on a machine.
const template = `[router]
name = edge-%[1]s-1
zone = %[1]s
zones = za:reg,zb:reg,zc:reg
memory = 284
files = 4100

[listen]
clients = %[2]s:%[3]d
ready = %[2]s:%[4]d

[peers]
address = %[2]s
ports = %[5]d,%[6]d
seeds = %[9]s:%[7]d,%[10]s:%[7]d,%[11]s:%[7]d

[store]
address = %[8]s

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

// startRouter starts the n-th router, counted from 0, in a zone of its own.
func (f *fleet) startRouter(n int) (*router, error) {
	zone := []string{"za", "zb", "zc"}[n%3]
	ip := hostIP(n + 1)
	text := fmt.Sprintf(template, zone, ip, f.port, f.port+1, f.port+2, f.port+17, f.port+18, f.store.addr, hostIP(1), hostIP(2), hostIP(3))
	path := filepath.Join(f.dir, fmt.Sprintf("edge-%d.ini", n))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p, err := f.start(fmt.Sprintf("router-%d.log", n), []string{"PERIDOTUSHER_CONFIG=" + path}, binary, "platform", "--metrics", fmt.Sprint(f.port+19))
	if err != nil {
		return nil, err
	}
	r := &router{process: p, ip: ip, clients: fmt.Sprintf("%s:%d", ip, f.port), ready: fmt.Sprintf("%s:%d", ip, f.port+1), settings: path}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers = append(f.routers, r)
	return r, nil
}

// awaitReady waits until the router says that it is ready.
func (r *router) awaitReady() error {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for range 200 {
		resp, err := client.Get("http://" + r.ready + "/-/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("router %s does not become ready", r.ip)
}

// startReplica starts a replica process and its entry in the store.
func (f *fleet) startReplica(id, service, zone string, n int) (*process, error) {
	addr := net.JoinHostPort(hostIP(replicaHost+n%3), strconv.Itoa(f.port+n/3))
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p, err := f.start("", nil, self, "replica", id, service, addr)
	if err != nil {
		return nil, err
	}
	p.addr = addr
	for range 100 {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			_ = c.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas[id] = p
	b := &beat{stop: make(chan struct{}), fields: map[string]any{
		"service": service, "addr": addr, "zone": zone, "version": "v1", "slots": 64, "state": "ready", "cold-remaining-ms": 0, "born": time.Now().UnixMilli(),
	}}
	f.beats[id] = b
	b.write(f, id)
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-b.stop:
				return
			case <-tick.C:
				b.write(f, id)
			}
		}
	}()
	return p, nil
}

// write writes the entry once.
func (b *beat) write(f *fleet, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.fields["seq"] = b.seq
	f.store.put("servers/"+id, b.fields)
}

// drain writes that the replica is leaving and returns once the store has accepted it.
func (f *fleet) drain(id string) {
	b := f.beats[id]
	b.mu.Lock()
	b.fields["state"] = "draining"
	b.mu.Unlock()
	b.write(f, id)
	f.record.add("store accepted: %s is draining", id)
}

// call is what a consumer sends.
type call struct {
	id, method, target, host string
	header                   map[string]string
	body                     []byte
	timeout                  time.Duration
}

// reply is what the consumer got.
type reply struct {
	status   int
	header   http.Header
	body     []byte
	err      error // of the connection or of an incomplete answer
	complete bool
	took     time.Duration
}

// lastID numbers the attempts.
var lastID atomic.Int64

// send sends a request on a new connection and reads the answer.
func (f *fleet) send(addr string, c call) reply {
	if c.id == "" {
		c.id = fmt.Sprintf("%08x%08x", os.Getpid(), lastID.Add(1))
	}
	began := time.Now()
	out := f.exchange(addr, c)
	out.took = time.Since(began)
	f.record.add("consumer: %s %s answered %d whole %v bytes %d after %.3f s %v", c.id, c.target, out.status, out.complete, len(out.body), out.took.Seconds(), errorText(out.err))
	return out
}

// errorText returns the text of an error, "" for none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// exchange sends a request and reads its answer.
func (f *fleet) exchange(addr string, c call) reply {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	if c.timeout == 0 {
		c.timeout = 15 * time.Second
	}
	_ = conn.SetDeadline(time.Now().Add(c.timeout))
	f.record.add("consumer: %s %s %s sent to %s", c.id, c.method, c.target, addr)
	if err := write(conn, c); err != nil {
		return reply{err: err}
	}
	return read(bufio.NewReader(conn), c)
}

// write writes a request.
func write(w io.Writer, c call) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.target, c.host, c.id, c.timeout.Milliseconds())
	for name, value := range c.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if c.body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	b.Write(c.body)
	_, err := w.Write(b.Bytes())
	return err
}

// read reads an answer.
func read(br *bufio.Reader, c call) reply {
	resp, err := http.ReadResponse(br, &http.Request{Method: c.method})
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return reply{status: resp.StatusCode, header: resp.Header, body: data, err: err, complete: err == nil && framed}
}

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/testbed"
)

// routerSettings returns the settings of a router for each command that runs one. Its clients connect
// to a port of 127.0.3.1, and its store is out of reach.
func routerSettings(port int) map[string]string {
	return map[string]string{
		"serve": fmt.Sprintf("[router]\nname = a\nzone = z\nsettle = 10ms\ndrain = 1s\n[caller]\nlisten = 127.0.3.1:%d\n"+
			"[operator]\nlisten = 127.0.3.2:%[1]d\nkey = %[2]s\n[peer]\nlisten = 127.0.3.3:%[1]d\nadvertise = 127.0.3.3:%[1]d\n"+
			"[store]\naddresses = 127.0.0.1:1\n[hosts]\nurl = http://127.0.0.1:1/\n[weights]\nurl = http://127.0.0.1:1/\n[stream]\nsecret = a-secret-of-at-least-32-characters\n", port, document.HashKey("k")),
		"platform": fmt.Sprintf("[router]\nname = a\nzone = z\n[listen]\nclients = 127.0.3.1:%d\nready = 127.0.3.2:%[1]d\n"+
			"[peers]\naddress = 127.0.3.3\nports = %[1]d,%[2]d\n[store]\naddress = 127.0.0.1:1\n[bounds]\nstop = 1s\n", port, port+1),
	}
}

// startRouter starts a router process that writes its log to a file, and waits until clients can
// connect. It returns the process and a function that waits for its end.
func startRouter(t *testing.T, binary, command string, log *os.File) (*os.Process, func() error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.3.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().(*net.TCPAddr)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "router.ini")
	if err := os.WriteFile(path, []byte(routerSettings(address.Port)[command]), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, command, "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		conn, err := net.Dial("tcp", address.String())
		if err == nil {
			_ = conn.Close()
			return cmd.Process, cmd.Wait
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("the router does not listen: %v", cmd.Process.Kill())
	return nil, nil
}

// TestOnlyStopSignalsEndRouters guards against routers that a signal without a handler ends, with
// their requests in flight. SIGPIPE also comes from a write to a log whose reader has ended.
func TestOnlyStopSignalsEndRouters(t *testing.T) {
	binary, err := testbed.Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	signals := map[string][]syscall.Signal{
		"hangup": {syscall.SIGHUP, syscall.SIGHUP},
		"others": {syscall.SIGPIPE, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGIO, syscall.SIGPWR},
		"log":    nil,
	}
	for _, command := range []string{"serve", "platform"} {
		for name, sent := range signals {
			t.Run(command+" "+name, func(t *testing.T) {
				t.Parallel()
				r, log, err := os.Pipe()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = log.Close() })
				t.Cleanup(func() { _ = r.Close() })
				if name == "log" {
					_ = r.Close()
				}
				process, wait := startRouter(t, binary, command, log)
				for _, s := range sent {
					_ = process.Signal(s) // wait reports a process that has ended
					time.Sleep(50 * time.Millisecond)
				}
				_ = process.Signal(syscall.SIGTERM)
				if err := wait(); err != nil {
					t.Errorf("the process ended with %v", err)
				}
			})
		}
	}
}

package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"
)

// streamEvents is the number of events of each stream, streamPause the time between two of them.
const (
	streamEvents = 60
	streamPause  = 100 * time.Millisecond
)

// streamPieces returns the events of a stream. Each one is a piece that is written at once.
func streamPieces() []string {
	pieces := make([]string, streamEvents)
	for i := range pieces {
		pieces[i] = fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", i+1, i+1, streamEvents)
	}
	return pieces
}

// runReplicaProcess runs one replica that answers with streams which end with their channel. It writes its
// address to standard output.
func runReplicaProcess(args []string) int {
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	id := flags.String("id", "", "id")
	host := flags.String("host", "127.0.0.1", "address")
	if flags.Parse(args) != nil {
		return exitCannotRun
	}
	l, err := net.Listen("tcp", net.JoinHostPort(*host, "0"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	fmt.Println(l.Addr())
	p := &replica{id: *id, slots: 64, runs: &ledger{}}
	p.answer = func(*http.Request) reply {
		return reply{status: http.StatusOK, pieces: streamPieces(), pause: streamPause}
	}
	p.serve(l)
	return exitHeld
}

// startReplicaProcess starts a replica as a process of its own and registers it in the store.
func (s *stage) startReplicaProcess(number int, zone string) (*replica, *exec.Cmd, error) {
	p := &replica{id: fmt.Sprintf("i-%08x", 0xa1b20000+number), zone: zone, slots: 64}
	program, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	c := exec.Command(program, "replica", "--id", p.id, "--host", fmt.Sprintf("127.0.78.%d", number))
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := s.start(c); err != nil {
		return nil, nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, nil, errors.Join(errors.New("a replica did not start"), err)
	}
	p.address = strings.TrimSpace(line)
	s.store.put("servers/"+p.id, p.entry("ready"))
	return p, c, nil
}

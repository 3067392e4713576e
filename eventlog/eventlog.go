// Package eventlog writes one line of key=value pairs for each event to a
// stream. A caller never waits for the stream: events go through a bounded
// queue, and what does not fit is counted by kind and told in a line of its own.
//
// # Usage
//
//	log := eventlog.New(os.Stdout)
//	group.Go(func() error { return log.Run(ctx) })
//	log.Event("start", "router", name)
package eventlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueLength is the number of events that wait to be written.
	queueLength = 512
	// tellDropped is the time between two lines about dropped events.
	tellDropped = time.Second
)

// Log is a bounded queue of events. It is safe for concurrent use.
type Log struct {
	log   *logrus.Logger
	queue chan event

	mu      sync.Mutex
	dropped map[string]int
}

type event struct {
	at     time.Time
	kind   string
	fields []any
}

// New returns a Log that writes to w once Run is called.
func New(w io.Writer) *Log {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(formatter{})
	return &Log{log: l, queue: make(chan event, queueLength), dropped: make(map[string]int)}
}

// Event queues a line of the kind with fields given as name, value pairs. Values
// must not change afterwards.
func (l *Log) Event(kind string, fields ...any) {
	select {
	case l.queue <- event{at: time.Now(), kind: kind, fields: fields}:
	default:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dropped[kind]++
	}
}

// Run writes events until ctx ends and the queue is empty.
func (l *Log) Run(ctx context.Context) error {
	tick := time.NewTicker(tellDropped)
	defer tick.Stop()
	for {
		select {
		case e := <-l.queue:
			l.write(e)
		case <-tick.C:
			l.tell()
		case <-ctx.Done():
			l.flush()
			return nil
		}
	}
}

func (l *Log) flush() {
	for {
		select {
		case e := <-l.queue:
			l.write(e)
		default:
			l.tell()
			return
		}
	}
}

func (l *Log) write(e event) {
	l.log.WithTime(e.at).WithField(pairsField, e.fields).Info(e.kind)
}

// tell writes how many events of each kind were dropped.
func (l *Log) tell() {
	l.mu.Lock()
	dropped := l.dropped
	l.dropped = make(map[string]int)
	l.mu.Unlock()
	for kind, n := range dropped {
		l.log.WithField(pairsField, []any{"kind", kind, "count", n}).Warn("dropped")
	}
}

// Package eventlog writes one line of key=value pairs per event to a stream, and reads such
// lines. Callers never wait for the stream: events go through a bounded queue. Events that
// do not fit are dropped, and a separate line reports how many of each kind.
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
	// queueLength is the maximum number of events waiting to be written.
	queueLength = 512
	// droppedReportInterval is how often dropped events are reported.
	droppedReportInterval = time.Second
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

// Event queues a line for an event of a kind. fields holds alternating names and values,
// which must not change afterwards. If the queue is full the event is dropped and counted.
func (l *Log) Event(kind string, fields ...any) {
	select {
	case l.queue <- event{at: time.Now(), kind: kind, fields: fields}:
	default:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dropped[kind]++
	}
}

// Run writes events until ctx is done and the queue is empty.
func (l *Log) Run(ctx context.Context) error {
	tick := time.NewTicker(droppedReportInterval)
	defer tick.Stop()
	for {
		select {
		case e := <-l.queue:
			l.write(e)
		case <-tick.C:
			l.reportDropped()
		case <-ctx.Done():
			l.flush()
			return nil
		}
	}
}

// flush writes all queued events and reports dropped ones.
func (l *Log) flush() {
	for {
		select {
		case e := <-l.queue:
			l.write(e)
		default:
			l.reportDropped()
			return
		}
	}
}

func (l *Log) write(e event) {
	l.log.WithTime(e.at).WithField(pairsField, e.fields).Info(e.kind)
}

// reportDropped writes how many events of each kind were dropped since the last call.
func (l *Log) reportDropped() {
	l.mu.Lock()
	dropped := l.dropped
	l.dropped = make(map[string]int)
	l.mu.Unlock()
	for kind, n := range dropped {
		l.log.WithField(pairsField, []any{"kind", kind, "count", n}).Warn("dropped")
	}
}

package standin

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// endlessBlockBytes is the minimum size of the blocks that an Endless sends.
	endlessBlockBytes = 64 << 10
	// endlessInterval is the pause between two blocks, so that a reader that keeps up leaves the
	// socket buffers almost empty.
	endlessInterval = time.Millisecond
	// maxRequestBytes is how much is read of a request before it is answered.
	maxRequestBytes = 4 << 10
)

// Endless simulates a faulty endpoint. It answers the first request on each connection with Text
// and then with Filler, until the other side closes.
type Endless struct {
	Listener     net.Listener
	Text, Filler string
	MaxBytes     int64 // of Filler in all answers; 0 sets no limit

	sent atomic.Int64
}

// Sent returns how many bytes of Filler were sent in all answers.
func (e *Endless) Sent() int64 { return e.sent.Load() }

// Run serves connections until ctx ends.
func (e *Endless) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.Listener.Close() })
	defer stop()
	block := strings.Repeat(e.Filler, 1+endlessBlockBytes/len(e.Filler))
	var group errgroup.Group
	for {
		conn, err := e.Listener.Accept()
		if err != nil {
			return group.Wait()
		}
		group.Go(func() error {
			e.answer(ctx, conn, block)
			return nil
		})
	}
}

func (e *Endless) answer(ctx context.Context, conn net.Conn, block string) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_, _ = conn.Read(make([]byte, maxRequestBytes)) // a failure shows when writing
	_, err := io.WriteString(conn, e.Text)
	for err == nil && (e.MaxBytes == 0 || e.sent.Load() < e.MaxBytes) {
		var n int
		n, err = io.WriteString(conn, block)
		e.sent.Add(int64(n))
		time.Sleep(endlessInterval)
	}
}

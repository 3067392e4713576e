package callers

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// reconnectDelay is the pause before a client of a crowd connects again.
	reconnectDelay = 50 * time.Millisecond
	// crowdDialTimeout limits one attempt to connect.
	crowdDialTimeout = time.Second
)

// Crowd is a number of clients that nobody controls. Each of them sends the same bytes on a connection, whatever they
// are, keeps it open, and connects again once it is disconnected. It reads nothing while it sends.
type Crowd struct {
	Size   int    // number of clients
	Start  string // what each client sends first
	Filler string // what it sends again and again behind that; "" for nothing
	Length int    // number of bytes after which the filler ends; 0 for no end
	End    string // what it sends behind the filler
}

// Run runs the clients until ctx ends.
func (c Crowd) Run(ctx context.Context, address string) error {
	var group errgroup.Group
	for range c.Size {
		group.Go(func() error {
			for ctx.Err() == nil {
				c.connect(ctx, address)
				time.Sleep(reconnectDelay)
			}
			return nil
		})
	}
	return group.Wait()
}

// connect runs one client on one connection, until it is closed or ctx ends.
func (c Crowd) connect(ctx context.Context, address string) {
	conn, err := (&net.Dialer{Timeout: crowdDialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })()
	if c.send(conn) == nil {
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
	}
}

// send sends the bytes of one client.
func (c Crowd) send(w io.Writer) error {
	if _, err := io.WriteString(w, c.Start); err != nil {
		return err
	}
	for sent := 0; c.Filler != "" && (c.Length == 0 || sent < c.Length); sent += len(c.Filler) {
		if _, err := io.WriteString(w, c.Filler); err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, c.End)
	return err
}

// ShortLines returns header lines without values, at most n bytes, whose names are short and differ.
func ShortLines(n int) string {
	const digits = "0123456789abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; ; i++ {
		line := fmt.Sprintf("%c%c%c:\n", 'a'+i%26, digits[i/26%36], digits[i/26/36%36])
		if b.Len()+len(line) > n {
			return b.String()
		}
		b.WriteString(line)
	}
}

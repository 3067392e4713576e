package httphead

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// malformedHeads are bytes that net/http reads as an answer, and whether they are none.
var malformedHeads = map[string]bool{
	wholeAnswer:                                                    false,
	"HTTP/1.0 404 Not Found\r\n\r\n":                               false,
	"HTTP/1.1 000 No\r\n\r\n":                                      true,
	"HTTP/1.1 099 No\r\n\r\n":                                      true,
	"HTTP/1.1 +20 No\r\n\r\n":                                      true,
	"HTTP/1.1 600 No\r\n\r\n":                                      true,
	"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n":                            true,
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok":              true,
	"HTTP/1.1 200 OK\r\n" + manyNames(maxNames+1) + "\r\n":         true,
	"HTTP/1.1 103 Early\r\nA b: c\r\n\r\n" + wholeAnswer:           true,
	strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 3) + wholeAnswer:  false,
	strings.Repeat("HTTP/1.1 103 Early\r\n\r\n", 33) + wholeAnswer: true,
}

// manyNames returns n header lines whose names differ.
func manyNames(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(strings.Repeat("a", i+1) + ":\r\n")
	}
	return b.String()
}

// TestCheck guards against the heads of answers that net/http accepts though they are none.
func TestCheck(t *testing.T) {
	for text, want := range malformedHeads {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if resp.StatusCode == http.StatusEarlyHints {
			continue // the test of the transport has them
		}
		if diff := cmp.Diff(want, errors.Is(Check(resp), ErrMalformed)); diff != "" {
			t.Errorf("%q is malformed (-want +got):\n%s", text, diff)
		}
	}
}

// TestTransport guards against such heads, final ones and informational ones, in the answers that an http.Transport reads.
func TestTransport(t *testing.T) {
	for text, want := range malformedHeads {
		server, client := net.Pipe()
		var group errgroup.Group
		group.Go(func() error {
			_, err := http.ReadRequest(bufio.NewReader(server))
			if err == nil {
				_, _ = io.WriteString(server, text) // the client reads as much as it accepts
			}
			_ = server.Close()
			return err
		})
		dial := func(context.Context, string, string) (net.Conn, error) { return client, nil }
		transport := &Transport{Base: &http.Transport{DialContext: dial}}
		resp, err := transport.RoundTrip(httptest.NewRequest(http.MethodGet, "http://h.example/", nil))
		if diff := cmp.Diff(want, errors.Is(err, ErrMalformed)); diff != "" {
			t.Errorf("%q is malformed, %v (-want +got):\n%s", text, err, diff)
		}
		if err == nil {
			_ = resp.Body.Close()
		}
		transport.CloseIdleConnections()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}
}

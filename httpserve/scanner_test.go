package httpserve

import (
	"io"
	"net/http/httputil"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// scanned is what a scan found in a text.
type scanned struct {
	Length       int // of the part that ends
	Bytes, Lines int // as counted
}

// TestHeadScan guards against heads whose end or cost is not seen, however they are divided among reads.
func TestHeadScan(t *testing.T) {
	tests := map[string]scanned{
		"GET / HTTP/1.1\r\nA: b\r\n\r\nrest":   {24, 24, 2},
		"GET / HTTP/1.1\nA: b\n\nrest":         {21, 21, 2},
		"\r\n\n\r\nGET / HTTP/1.1\r\n\r\nrest": {23, 18, 1},
		"GET / HTTP/1.1\r\na:\r\nb:\n\n\n":     {24, 24, 3},
		"GET / HTTP/1.1\r\na: b\r\n \r\n\r\n":  {27, 27, 3},
	}
	for text, want := range tests {
		for size := 1; size <= len(text); size++ {
			var s headScanner
			got := scanned{}
			for ended := false; !ended && got.Length < len(text); {
				var n int
				n, ended = s.feed([]byte(text[got.Length:min(got.Length+size, len(text))]))
				got.Length += n
			}
			got.Bytes, got.Lines = s.bytes, s.lines
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%q in reads of %d bytes (-want +got):\n%s", text, size, diff)
			}
		}
	}
}

// TestChunkScan guards against bodies in chunks whose end is not seen, so that the next request counts as a part of one.
func TestChunkScan(t *testing.T) {
	var written strings.Builder
	w := httputil.NewChunkedWriter(&written)
	for n := range 40 {
		if _, err := w.Write([]byte(strings.Repeat("\r\n0\r\n\r\n", n+1))); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	for name, body := range map[string]string{
		"written": written.String() + "\r\n", "empty": "0\r\n\r\n", "extensions": "A;x=1\r\n0123456789\r\n0;y\r\n\r\n",
		"trailers": "2\r\nok\r\n0\r\nA: b\r\nC: d\r\n\r\n", "line feeds": "2\nok\n0\n\n", "zeros": "0002\r\nok\r\n000\r\n\r\n",
	} {
		for _, size := range []int{1, 2, 3, 7, 1000, len(body) + 4} {
			var s chunkScanner
			at, ended := 0, false
			for text := body + "GET "; !ended && at < len(text); {
				var n int
				n, ended = s.feed([]byte(text[at:min(at+size, len(text))]))
				at += n
			}
			if diff := cmp.Diff(len(body), at); diff != "" || !ended {
				t.Errorf("%s in reads of %d bytes, ended %v: length (-want +got):\n%s", name, size, ended, diff)
			}
		}
	}
	read, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(written.String())))
	if err != nil || len(read) == 0 {
		t.Errorf("the written body is not one in chunks: %v", err)
	}
}

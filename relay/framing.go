package relay

import "net/http"

// The ways in which the end of an answer's body is found, as they are logged.
const (
	framingLength = "length" // a Content-Length
	framingChunks = "chunks" // chunked transfer coding
	framingClose  = "close"  // the end of the connection
)

// framing returns how the end of the body of a replica's answer is found.
func framing(resp *http.Response) string {
	switch {
	case len(resp.TransferEncoding) > 0:
		return framingChunks
	case resp.ContentLength >= 0:
		return framingLength
	default:
		return framingClose
	}
}

// isDelimited reports whether the answer states where it ends, rather than ending with the
// connection.
func isDelimited(resp *http.Response) bool { return framing(resp) != framingClose }

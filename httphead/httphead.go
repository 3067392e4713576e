// Package httphead checks and limits the heads of HTTP answers, and knows which statuses are promises.
//
// net/http accepts bytes as the head of an answer that are none: a status like 000 or +20, or a name with a
// blank in it, so that the line that states the length is not seen. http.ReadResponse limits nothing,
// http.Transport only the bytes, and a head of short names takes many times its bytes in memory.
//
// # Usage
//
// Answers that are read with http.ReadResponse, also informational ones:
//
//	resp, err := http.ReadResponse(br, req)
//	...
//	err = httphead.Check(resp)
//
// Answers that an http.Transport reads:
//
//	client := &http.Client{Transport: &httphead.Transport{Base: &http.Transport{MaxResponseHeaderBytes: httphead.MaxBytes}}}
package httphead

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// MaxBytes is the largest head of an answer, including the informational ones before it.
	MaxBytes = 64 << 10
	// maxNames is the largest number of different names in a head.
	maxNames = 256
	// minStatus and maxStatus are the first and the last status of HTTP.
	minStatus = 100
	maxStatus = 599
)

// ErrMalformed means that bytes that were read as the head of an answer are none.
var ErrMalformed = errors.New("malformed head of an answer")

// PromisesNotRun reports whether clients take a status for the promise that their request has not run and
// will not run, so that they send it again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Check returns an error, marked as ErrMalformed, if the head of an answer is none, or has more names than an
// endpoint would send.
func Check(resp *http.Response) error { return check(resp.StatusCode, resp.Header) }

// check checks the status and the names of a head.
func check(status int, header http.Header) error {
	if status < minStatus || status > maxStatus {
		return malformed("status %d", status)
	}
	if n := len(header); n > maxNames {
		return malformed("%d names, %d allowed", n, maxNames)
	}
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("name %q", name)
		}
	}
	return nil
}

// malformed returns an error that is marked as ErrMalformed.
func malformed(format string, args ...any) error {
	return errors.Mark(errors.Newf("head of an answer has "+format, args...), ErrMalformed)
}

// Package httphead limits the heads of HTTP answers, and knows which statuses are promises.
// http.ReadResponse limits nothing, http.Transport only the bytes, and a head of short names takes many
// times its bytes in memory.
//
// # Usage
//
//	transport := &http.Transport{MaxResponseHeaderBytes: httphead.MaxBytes}
//	...
//	err := httphead.Check(resp)
package httphead

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// MaxBytes is the largest head of an answer, including the informational ones before it.
	MaxBytes = 64 << 10
	// maxNames is the largest number of different names in a head.
	maxNames = 256
)

// PromisesNotRun reports whether clients take a status for the promise that their request has not run and
// will not run, so that they send it again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Check returns an error if the head of an answer has more names than an endpoint would send.
func Check(resp *http.Response) error {
	if n := len(resp.Header); n > maxNames {
		return errors.Newf("head has %d names, %d allowed", n, maxNames)
	}
	return nil
}

package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// readBody reads the complete body before the request is sent, so that a slow client never delays
// a replica. If it returns false, it has answered the request.
func (t *task) readBody() bool {
	limit := t.doc.Limits.BodyBytes
	length := t.r.ContentLength
	if length == 0 && t.r.Header.Get("Content-Length") == "" {
		return true
	}
	if limit > 0 && length > limit {
		announceClose(t.w.Header()) // the body remains unread
		t.deny(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	reserve := length
	if reserve < 0 {
		reserve = maxInlineBody
	}
	if !t.reserve(reserve) {
		t.refuse(http.StatusServiceUnavailable, "no_memory", retryAfterBusy)
		return false
	}
	control := http.NewResponseController(t.w)
	remaining := t.deadline.Sub(t.proxy.Clock.Now())
	if err := control.SetReadDeadline(time.Now().Add(remaining)); err != nil {
		t.proxy.Log.Event("socket", "id", t.call.ID, "error", err)
	}
	err := t.fill(length, limit)
	t.r.Trailer = nil // no part of a request that is forwarded, and many times its bytes in memory
	if err != nil {
		t.bodyFailed(err)
		return false
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		t.proxy.Log.Event("socket", "id", t.call.ID, "error", err)
	}
	return true
}

var (
	errBodyTooLarge = errors.New("request body exceeds the limit")
	errNoMemory     = errors.New("no free memory for the request body")
)

// fill reads the body into memory. length is -1 if the body is chunked.
func (t *task) fill(length, limit int64) error {
	t.hasBody = true
	if length >= 0 {
		t.body = make([]byte, length)
		_, err := io.ReadFull(t.r.Body, t.body)
		return err
	}
	buf := make([]byte, 0, maxInlineBody)
	for {
		if len(buf) == cap(buf) {
			if !t.reserve(int64(cap(buf))) {
				return errNoMemory
			}
			grown := make([]byte, len(buf), 2*cap(buf))
			copy(grown, buf)
			buf = grown
		}
		n, err := t.r.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if limit > 0 && int64(len(buf)) > limit {
			return errBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			t.body = buf
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// bodyFailed answers a request whose body could not be read. It has not run.
func (t *task) bodyFailed(err error) {
	announceClose(t.w.Header())
	switch {
	case errors.Is(err, errBodyTooLarge):
		t.deny(http.StatusRequestEntityTooLarge, "body_too_large")
	case errors.Is(err, errNoMemory):
		t.refuse(http.StatusServiceUnavailable, "no_memory", retryAfterBusy)
	default:
		t.refuse(http.StatusRequestTimeout, "body_incomplete", retryAfterFailed)
	}
}

// reserve reserves n bytes of the memory for request bodies. It returns false if too little is
// free.
func (t *task) reserve(n int64) bool {
	if t.proxy.bodies.Add(n) > t.proxy.BodyMemory {
		t.proxy.bodies.Add(-n)
		return false
	}
	t.reservedBytes += n
	return true
}

// freeBody releases the memory of the body.
func (t *task) freeBody() {
	t.proxy.bodies.Add(-t.reservedBytes)
	t.reservedBytes, t.body = 0, nil
}

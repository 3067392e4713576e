package relay

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prepare validates the request against the configuration and reads its body. If it returns
// false, it has answered the request.
func (t *task) prepare() bool {
	f := t.proxy
	t.doc = f.Current.Load()
	if t.doc == nil {
		t.refuse(http.StatusServiceUnavailable, "no_configuration", retryAfterUnready)
		return false
	}
	route, ok := t.doc.Match(t.r.Host, t.path())
	if !ok {
		t.deny(http.StatusNotFound, "no_route")
		return false
	}
	t.route = route
	if t.doc.RequiresKeys() && !route.Public {
		holder, ok := t.doc.Organisation(t.call.Key)
		if !ok {
			t.deny(http.StatusUnauthorized, "unknown_key")
			return false
		}
		t.organisation = holder
	}
	t.setDeadline()
	if e := f.stopPolicy.Load(); e != nil && !e.Accepts(t.began, t.deadline) {
		t.refuse(http.StatusServiceUnavailable, "stopping", retryAfterStopping)
		return false
	}
	return t.readBody()
}

// path returns the path of the request target without decoding it.
func (t *task) path() string {
	target := t.r.RequestURI
	if target == "" || target[0] != '/' {
		return t.r.URL.EscapedPath()
	}
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// setDeadline sets the deadline of the request from the route's timeout and the client's time
// limit.
func (t *task) setDeadline() {
	timeout := t.route.Timeout
	if p := t.call.ClientTimeout; p > 0 && (timeout <= 0 || p < timeout) {
		timeout = p
	}
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	t.deadline = t.began.Add(timeout)
	if err := http.NewResponseController(t.w).SetWriteDeadline(time.Now().Add(timeout + writeMargin)); err != nil {
		t.proxy.Log.Event("socket", "id", t.call.ID, "error", err)
	}
}

// pickService picks the service of the request by the weights of the route's services. The same
// request id always gets the same service.
func (t *task) pickService() string { return t.route.Service(uniformHash(t.call.ID)) }

// uniformHash hashes a text to a number that is uniformly distributed in [0, 1).
func uniformHash(text string) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String(text)>>(64-mantissaBits)) / (1 << mantissaBits)
}

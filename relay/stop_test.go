package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestLateRequestsOfAStopAreAnswered guards against requests that are taken late in a planned stop and cut
// with no answer at its end.
func TestLateRequestsOfAStopAreAnswered(t *testing.T) {
	const left = 1200 * time.Millisecond // until the end of the stop
	silent := func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.Copy(io.Discard, c) // until the router gives up
		return false
	}
	for patience, want := range map[time.Duration]int{
		left - stopAnswerReserve - 100*time.Millisecond: http.StatusGatewayTimeout,
		left - stopAnswerReserve/2:                      http.StatusServiceUnavailable,
		left - 5*time.Millisecond:                       http.StatusServiceUnavailable,
		left:                                            http.StatusServiceUnavailable,
		left + time.Second:                              http.StatusServiceUnavailable,
	} {
		t.Run(patience.String(), func(t *testing.T) {
			b := newFixture(t, nonIdempotent, silent)
			now := monotonicClock.Now()
			b.proxy.Stop(StopPolicy{AcceptAllUntil: now, AnswerBy: now.Add(left)})
			process := time.AfterFunc(left, b.stop)
			defer process.Stop()
			resp, _, complete := b.send(strings.Replace(get(""), "Patience: 2s", fmt.Sprint("Patience: ", patience), 1))
			got := 0
			if complete && monotonicClock.Now().Before(now.Add(left)) {
				got = resp.StatusCode
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("status by the end of the stop, 0 for none (-want +got):\n%s", diff)
			}
		})
	}
}

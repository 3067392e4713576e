package relay

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestMalformedHeadsAreNoAnswers guards against bytes that are passed on as an answer though they are none: with a status that
// HTTP does not have, or a name with a blank, whose line then does not count, so that the body ends elsewhere.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	const fields = "Id: ID\r\nSignature: s\r\n"
	const answer = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok"
	tests := map[string]struct {
		text string
		want int
	}{
		"status 000":                     {"HTTP/1.1 000 No\r\n" + fields + "Content-Length: 0\r\n\r\n" + answer, http.StatusBadGateway},
		"status +20":                     {"HTTP/1.1 +20 No\r\n" + fields + "Content-Length: 2\r\n\r\nok", http.StatusBadGateway},
		"status 99":                      {"HTTP/1.1 099 No\r\n" + fields + "Content-Length: 2\r\n\r\nok", http.StatusBadGateway},
		"status 600":                     {"HTTP/1.1 600 No\r\n" + fields + "Content-Length: 2\r\n\r\nok", http.StatusBadGateway},
		"blank in a name":                {"HTTP/1.1 200 OK\r\n" + fields + "A b: c\r\nContent-Length: 2\r\n\r\nok", http.StatusBadGateway},
		"blank behind the length's name": {"HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 2\r\n\r\nok and more", http.StatusBadGateway},
		"control byte in a name":         {"HTTP/1.1 200 OK\r\n" + fields + "A\x01: c\r\nContent-Length: 2\r\n\r\nok", http.StatusBadGateway},
		"blank in informational answer":  {"HTTP/1.1 103 Early\r\nA b: c\r\n\r\n" + answer, http.StatusBadGateway},
		"informational answers":          {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n" + answer, http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, nonIdempotent, respond(tt.text, false))
			resp, body, complete := b.send(b.unique(get("")))
			got := 0
			if resp != nil && complete {
				got = resp.StatusCode
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("status with body %q (-want +got):\n%s", body, diff)
			}
		})
	}
}

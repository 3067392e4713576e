package fleettest

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/config"
	"peridotusher.example/peridotusher/testbed"
)

// streamTokens is the number of tokens of a streamed answer, which takes a few seconds.
const streamTokens = "600"

// TestRemovalDrains removes an organisation or a model while an answer to it is streamed.
// New requests must be refused and the stream must be completed.
func TestRemovalDrains(t *testing.T) {
	t.Parallel()
	removals := []struct {
		name   string
		remove []string
	}{
		{"organisation", []string{"organisation probe-1"}},
		{"model", []string{"model stylist"}},
	}
	for _, removal := range removals {
		t.Run(removal.name, func(t *testing.T) {
			t.Parallel()
			b := startFleet(t, func(o *testbed.Options) { o.RoutersPerZone = 1 })
			key := b.addOrganisation()
			b.waitInForce(key, maxInForceTime, b.Routers...)
			stream, closeStream := b.openStream(b.Routers[0], key)
			defer closeStream()
			first, err := stream.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			b.removeSections(removal.remove...)
			for _, r := range b.Routers {
				b.waitRefused(r, key)
			}
			rest, err := io.ReadAll(stream)
			if err != nil {
				t.Fatalf("the stream was aborted: %v", err)
			}
			if diff := cmp.Diff(1, strings.Count(first+string(rest), "data: [DONE]")); diff != "" {
				t.Errorf("ends of the stream (-want +got):\n%s", diff)
			}
		})
	}
}

// removeSections removes sections and all rules, since rules may refer to the sections.
func (b *fleet) removeSections(headers ...string) {
	b.t.Helper()
	snap, err := b.editor.Load(context.Background())
	if err != nil {
		b.t.Fatal(err)
	}
	var edits []config.Edit
	for _, header := range snap.Headers() {
		if strings.HasPrefix(header, "rule ") {
			headers = append(headers, header)
		}
	}
	for _, header := range headers {
		edits = append(edits, config.Edit{Header: header, Base: snap.Version(header)})
	}
	b.applyEdits(edits...)
}

// openStream sends a request for a streamed answer and returns its body and a function
// that closes it.
func (b *fleet) openStream(r *testbed.Router, key string) (*bufio.Reader, func()) {
	b.t.Helper()
	resp, err := http.DefaultClient.Do(b.chatRequest(r, key, true))
	if err != nil {
		b.t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		b.t.Fatalf("status %d: %s", resp.StatusCode, text)
	}
	return bufio.NewReader(resp.Body), func() { resp.Body.Close() }
}

func (b *fleet) chatRequest(r *testbed.Router, key string, stream bool) *http.Request {
	b.t.Helper()
	body := `{"model":"stylist","max_tokens":` + streamTokens + `,"messages":[{"role":"user","content":"Does it fit?"}]}`
	if stream {
		body = strings.Replace(body, "{", `{"stream":true,`, 1)
	}
	req, err := http.NewRequest(http.MethodPost, r.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	return req
}

// waitRefused waits until a router refuses new requests with the key.
func (b *fleet) waitRefused(r *testbed.Router, key string) {
	b.t.Helper()
	for began := time.Now(); ; time.Sleep(probeInterval) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		resp, err := http.DefaultClient.Do(b.chatRequest(r, key, true).WithContext(ctx))
		refused := false
		if err == nil {
			refused = resp.StatusCode/100 == 4
			resp.Body.Close()
		}
		cancel()
		if refused {
			return
		}
		if time.Since(began) > maxInForceTime {
			b.t.Fatalf("%s still accepts requests", r.Name)
		}
	}
}

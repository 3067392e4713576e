package engine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/standin"
)

func TestOrders(t *testing.T) {
	errExpired := errors.New("lease expired")
	load := engine.Order{ID: "o1", Fence: 5, Kind: engine.OrderLoad, Model: "m", Version: "v2"}
	stale := engine.Order{ID: "o2", Fence: 4, Kind: engine.OrderRole, Role: "prefill"}
	expired := engine.Order{ID: "o3", Fence: 6, Kind: engine.OrderLeave, Check: func() error { return errExpired }}
	tests := []struct {
		name   string
		checks bool
		want   []engine.OrderResult
		role   string
		orders []string
	}{
		{
			name:   "fence checked",
			checks: true,
			want:   []engine.OrderResult{{Applied: true, Fence: 5}, {Repeated: true, Fence: 5}, {Refused: true, Fence: 5}},
			orders: []string{"o1"},
		},
		{
			name:   "fence ignored",
			want:   []engine.OrderResult{{Applied: true, Fence: 5}, {Repeated: true, Fence: 5}, {Applied: true, Fence: 5}},
			role:   "prefill",
			orders: []string{"o1", "o2"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &standin.Engine{Name: "e1", ChecksFence: tt.checks, LoadTime: time.Hour}
			address := start(t, e)
			client := newClient(t, waitLimit)
			var got []engine.OrderResult
			for _, order := range []engine.Order{load, load, stale} {
				result, err := client.Order(testContext(t), address, order)
				if err != nil {
					t.Fatal(err)
				}
				got = append(got, result)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
			_, err := client.Order(testContext(t), address, expired)
			if !errors.Is(err, errExpired) || peridotusher.AsFailure(err).Verdict() != peridotusher.NotRun {
				t.Errorf("order with an expired lease: %v, want the verdict not-run", err)
			}
			state, err := client.State(testContext(t), address)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.orders, state.Orders()); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
			versions := []engine.LoadedVersion{{Model: "m", Version: "v2", Running: new(int)}}
			if diff := cmp.Diff(versions, state.Versions()); diff != "" {
				t.Errorf("versions (-want +got):\n%s", diff)
			}
			if state.Role() != tt.role || state.Leaving() {
				t.Errorf("role %q leaving %v, want %q and false", state.Role(), state.Leaving(), tt.role)
			}
		})
	}
}

func TestCacheExportAndImport(t *testing.T) {
	from := &standin.Engine{Name: "e1", CacheTokens: 1000}
	to := &standin.Engine{Name: "e2", CacheTokens: 1000}
	fromAddress, toAddress := start(t, from), start(t, to)
	client := newClient(t, waitLimit)
	chat := func(address, id string) {
		s, err := client.Chat(testContext(t), address, newCall(id, 2))
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		read(t, s, -1)
	}
	chat(fromAddress, "r1")
	blob, err := client.Export(testContext(t), fromAddress, "chat-1")
	if err != nil {
		t.Fatal(err)
	}
	if err := client.Import(testContext(t), toAddress, "chat-1", blob); err != nil {
		t.Fatal(err)
	}
	chat(toAddress, "r2")
	if got := to.Stats(); got.HitTokens == 0 || got.MissTokens != 0 {
		t.Errorf("%d hit and %d missed tokens after the import, want all hit", got.HitTokens, got.MissTokens)
	}
	report, err := client.Load(testContext(t), toAddress)
	if err != nil {
		t.Fatal(err)
	}
	if report.Name() != "e2" || report.CacheCapacity() != 1000 || report.Sequence() != 2 || report.CacheTokens() == 0 {
		t.Errorf("report %+v, want e2 with 1000 tokens of cache and sequence 2", report)
	}
}

func TestCacheEventsMarkGaps(t *testing.T) {
	address := serveEvents(t, 1, 2, 2, 5)
	errEnough := errors.New("enough")
	var got []engine.CacheEvent
	err := newClient(t, waitLimit).CacheEvents(testContext(t), address, 1, func(event engine.CacheEvent) error {
		got = append(got, event)
		if len(got) == 2 {
			return errEnough
		}
		return nil
	})
	if !errors.Is(err, errEnough) {
		t.Fatal(err)
	}
	want := []engine.CacheEvent{
		{Sequence: 2, Chat: "c", Stored: true, Tokens: 7},
		{Sequence: 5, Chat: "c", Stored: true, Tokens: 7, Gap: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// serveEvents returns the address of a server that publishes cache events
// with the given sequence numbers.
func serveEvents(t *testing.T, sequences ...int) string {
	t.Helper()
	answer := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for _, n := range sequences {
		answer += fmt.Sprintf("data: {\"sequence\":%d,\"chat\":\"c\",\"stored\":true,\"tokens\":7}\n\n", n)
	}
	address, _ := serveRaw(t, answer)
	return address
}

package account

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"peridotusher.example/peridotusher/eventlog"
)

const sampleLog = `
 0.1 r1 time="2026-01-01T00:00:00.1Z" level=info msg=start router=r1 zone=a
 0.1 r2 time="2026-01-01T00:00:00.1Z" level=info msg=start router=r2 zone=b
 0.2 r1 time="2026-01-01T00:00:00.2Z" level=info msg=answered id=1 route=chat status=200 replica=m1 late= first=20ms
 0.3 r1 time="2026-01-01T00:00:00.3Z" level=info msg=answered id=2 route=chat status=200 replica=m1 late=pause first=20ms
 0.9 r2 time="2026-01-01T00:00:00.9Z" level=info msg=answered id=3 route=report status=200 replica=m2 late=start first=900ms waited=0s own=1ms sends=1 part=7 reason=home source=
 1.3 r2 time="2026-01-01T00:00:01.3Z" level=info msg=answered id=4 route=read status=500 replica=p1 late=
 1.4 r2 time="2026-01-01T00:00:01.4Z" level=info msg=denied id=5 route=chat status=503 why=overload
 1.5 r1 time="2026-01-01T00:00:01.5Z" level=info msg=try id=6 replica=m3 verdict=may-have-run
 1.5 r1 time="2026-01-01T00:00:01.5Z" level=info msg=denied id=6 route=save status=502 why=failed
 1.6 r1 time="2026-01-01T00:00:01.6Z" level=info msg=cut id=7 route=chat at=replica
 1.7 r2 time="2026-01-01T00:00:01.7Z" level=info msg=left id=8 route=chat sends=1
 1.8 r1 time="2026-01-01T00:00:01.8Z" level=info msg=denied id=9 route= status=404 why=no_route
 1.8 r2 time="2026-01-01T00:00:01.8Z" level=info msg=cut requests=3
`

func requests(t *testing.T) []Request {
	t.Helper()
	lines, err := eventlog.Read(strings.NewReader(sampleLog), "-")
	if err != nil {
		t.Fatal(err)
	}
	return Requests(lines)
}

func TestRequests(t *testing.T) {
	type row struct {
		id, zone, replica string
		outcome           Outcome
		cause             string
	}
	want := []row{
		{"1", "a", "m1", InTime, ""},
		{"2", "a", "m1", LatePause, "pause of the replica or a lost packet"},
		{"3", "b", "m2", LateStart, causePartsRead},
		{"4", "b", "p1", Failed, "replica's 500"},
		{"5", "b", "", Refused, "overload"},
		{"6", "a", "m3", Failed, "router's 502, failed"},
		{"7", "a", "", Truncated, "replica"},
		{"8", "b", "", Disconnected, "at a replica"},
		{"9", "a", "", Denied, "no_route"},
	}
	var got []row
	for _, r := range requests(t) {
		got = append(got, row{r.ID, r.Zone, r.Replica, r.Outcome, r.Cause})
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(row{})); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

// TestStartCause checks the cause of a late first event for each step that can dominate the time to it.
func TestStartCause(t *testing.T) {
	tests := map[string]map[string]string{
		causeOtherPrompt:    {"first": "200ms", "waited": "400ms", "own": "1ms", "sends": "1", "part": "7", "reason": "holder"},
		causeRouterTime:     {"first": "200ms", "waited": "0s", "own": "500ms", "sends": "1", "part": "7", "reason": "holder"},
		causeFailedAttempts: {"first": "700ms", "waited": "0s", "own": "1ms", "sends": "2", "part": "7", "reason": "home"},
		causeReplica:        {"first": "700ms", "waited": "0s", "own": "1ms", "sends": "1", "part": "7", "reason": "holder"},
		causePartsFetched:   {"first": "700ms", "waited": "0s", "own": "1ms", "sends": "1", "part": "7", "reason": "home", "source": "10.0.0.1:80"},
		causePartsRead:      {"first": "700ms", "waited": "0s", "own": "1ms", "sends": "1", "part": "7", "reason": "least"},
	}
	for want, fields := range tests {
		if got := startCause(fields); got != want {
			t.Errorf("%v: cause %q, want %q", fields, got, want)
		}
	}
}

func TestTally(t *testing.T) {
	all := requests(t)
	tests := []struct {
		by   GroupBy
		want []Row
	}{
		{ByZone, []Row{
			{"b", 4, map[Outcome]int{LateStart: 1, Failed: 1, Refused: 1, Disconnected: 1}},
			{"a", 5, map[Outcome]int{InTime: 1, LatePause: 1, Failed: 1, Truncated: 1, Denied: 1}},
		}},
		{BySecond, []Row{
			{"0", 3, map[Outcome]int{InTime: 1, LatePause: 1, LateStart: 1}},
			{"1", 6, map[Outcome]int{Failed: 2, Refused: 1, Truncated: 1, Disconnected: 1, Denied: 1}},
		}},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, Tally(all, tt.by)); diff != "" {
			t.Errorf("by %s (-want +got):\n%s", tt.by, diff)
		}
	}
	for _, by := range []GroupBy{ByRoute, ByReplica} {
		sum := 0
		for _, row := range Tally(all, by) {
			sum += row.Requests
		}
		if sum != len(all) {
			t.Errorf("by %s %d requests are counted, want %d", by, sum, len(all))
		}
	}
	losses := Losses(append(all, all[1]))
	if want := (Loss{LatePause, "pause of the replica or a lost packet", 2}); losses[0] != want || len(losses) != 7 {
		t.Errorf("losses %v, want %v first of 7", losses, want)
	}
}

package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher"
)

// testQueue is a queue with a fake clock.
type testQueue struct {
	*Queue
	clock *fakeClock
}

// newTestQueue returns a queue with the replicas; without any, with one replica of one slot, which
// may get two requests.
func newTestQueue(places ...AvailableReplica) testQueue {
	clock := &fakeClock{time.Unix(1000, 0)}
	q := NewQueue(clock)
	if len(places) == 0 {
		places = []AvailableReplica{{Hash: 1, Slots: 1, Pace: 1}}
	}
	q.SetReplicas(places)
	return testQueue{q, clock}
}

// submit submits a request with a latency target of one second.
func (q testQueue) submit(id uint64, change ...func(*Request)) Reply {
	r := Request{ID: id, Router: "r", Incarnation: 1, LatencyTarget: time.Second, Deadline: 2 * time.Second}
	for _, c := range change {
		c(&r)
	}
	return q.Submit(r)
}

// states submits requests and returns their states.
func (q testQueue) states(ids ...uint64) []State {
	var states []State
	for _, id := range ids {
		states = append(states, q.submit(id).State)
	}
	return states
}

// granted returns the ids of the waiting requests that were granted.
func (q testQueue) granted() []uint64 {
	var ids []uint64
	replies, _ := q.TakeDecisions()
	for _, d := range replies {
		if d.State == Granted {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

func (q testQueue) release(id uint64) { q.Release("r", 1, id, Usage{Replica: 1}) }

func wantEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s: diff (-want +got):\n%s", what, diff)
	}
}

// TestDuplicateAndLateMessages guards against lost slots and double grants when datagrams are
// duplicated, late or out of order.
func TestDuplicateAndLateMessages(t *testing.T) {
	tests := []struct {
		name    string
		run     func(testQueue)
		granted []uint64 // waiting requests granted afterwards
		stats   [2]int   // in progress, waiting
	}{
		{"duplicate of a grant", func(q testQueue) { q.submit(1) }, nil, [2]int{2, 1}},
		{"duplicate of a request that waits", func(q testQueue) { q.submit(3) }, nil, [2]int{2, 1}},
		{"release", func(q testQueue) { q.release(1) }, []uint64{3}, [2]int{2, 0}},
		{"release twice", func(q testQueue) { q.release(1); q.release(1) }, []uint64{3}, [2]int{2, 0}},
		{"duplicate after the release", func(q testQueue) { q.release(1); q.submit(1) }, []uint64{3}, [2]int{2, 0}},
		{"release of an earlier start", func(q testQueue) { q.Release("r", 0, 1, Usage{}) }, nil, [2]int{2, 1}},
		{"release of another router", func(q testQueue) { q.Release("s", 1, 1, Usage{}) }, nil, [2]int{2, 1}},
		{"release of a request that waits", func(q testQueue) { q.release(3) }, nil, [2]int{2, 1}},
		{"cancel of a grant", func(q testQueue) { q.Cancel("r", 1, 1) }, []uint64{3}, [2]int{2, 0}},
		{"cancel while it waits", func(q testQueue) { q.Cancel("r", 1, 3); q.release(1) }, nil, [2]int{1, 0}},
		{"cancel before the decision is fetched", func(q testQueue) {
			q.release(1)
			q.submit(4)
			q.Cancel("r", 1, 3)
		}, []uint64{4}, [2]int{2, 0}},
		{"cancel before submit", func(q testQueue) {
			q.Cancel("r", 1, 4)
			q.submit(4)
			q.release(1)
			q.release(2)
		}, []uint64{3}, [2]int{1, 0}},
		{"cancel long before submit", func(q testQueue) {
			q.Cancel("r", 1, 4)
			q.release(1)
			q.release(2)
			q.clock.now = q.clock.now.Add(1100 * time.Millisecond)
			q.submit(4)
		}, nil, [2]int{1, 0}},
		{"leases ended", func(q testQueue) { q.clock.now = q.clock.now.Add(3 * time.Second) }, nil, [2]int{0, 0}},
		{"replica removed", func(q testQueue) { q.SetReplicas(nil); q.release(1) }, nil, [2]int{1, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newTestQueue()
			wantEqual(t, "states", q.states(1, 2, 3), []State{Granted, Granted, Waiting})
			tt.run(q)
			wantEqual(t, "granted", q.granted(), tt.granted)
			s := q.Stats()
			wantEqual(t, "in progress and waiting", [2]int{s.InProgress, s.Waiting}, tt.stats)
		})
	}
}

// TestLeaseDuration guards against slots that stay occupied when their router is lost, and
// against leases longer than 10 s.
func TestLeaseDuration(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{
		2 * time.Second: 3 * time.Second,
		time.Minute:     10 * time.Second,
		0:               10 * time.Second,
	} {
		q := newTestQueue()
		q.submit(1, func(r *Request) { r.Deadline = deadline })
		_, wait := q.TakeDecisions()
		wantEqual(t, "time to the end of the lease", wait, want)
		q.clock.now = q.clock.now.Add(want)
		_, wait = q.TakeDecisions()
		wantEqual(t, "grants and wait after the lease", []int{q.Stats().InProgress, int(wait)}, []int{0, 0})
	}
}

// TestReplicaChoice guards against grants at replicas that are slow, full, excluded or in another
// zone while better ones have free slots.
func TestReplicaChoice(t *testing.T) {
	near := AvailableReplica{Hash: 1, Zone: "a", Slots: 4, Pace: 1}
	far := AvailableReplica{Hash: 2, Zone: "b", Slots: 4, Pace: 1}
	withLoad := func(p AvailableReplica, load int, pace float64) AvailableReplica {
		p.Load, p.Pace = load, pace
		return p
	}
	tests := []struct {
		name    string
		places  []AvailableReplica
		target  time.Duration
		exclude []uint32
		want    Reply
	}{
		{"same zone", []AvailableReplica{far, near}, time.Second, nil, Reply{State: Granted, Replica: 1}},
		{"excluded", []AvailableReplica{far, near}, time.Second, []uint32{1}, Reply{State: Granted, Replica: 2}},
		{"loaded", []AvailableReplica{far, withLoad(near, 3, 1)}, time.Second, nil, Reply{State: Granted, Replica: 2}},
		{"full", []AvailableReplica{withLoad(far, 0, 8), withLoad(near, 5, 1)}, time.Second, nil, Reply{State: Granted, Replica: 2}},
		{"slow", []AvailableReplica{far, withLoad(near, 0, 8)}, time.Second, nil, Reply{State: Granted, Replica: 2}},
		{"waits for a full one, the other is too slow", []AvailableReplica{withLoad(far, 5, 1), withLoad(near, 0, 8)},
			700 * time.Millisecond, nil, Reply{State: Waiting}},
		{"only a slow one", []AvailableReplica{withLoad(near, 0, 8)}, 700 * time.Millisecond, nil, Reply{State: Granted, Replica: 1}},
		{"no time", []AvailableReplica{near}, 0, nil, Reply{State: Refused, RetryAfter: minRetryAfter}},
		{"all excluded", []AvailableReplica{near, far}, time.Second, []uint32{1, 2}, Reply{State: Refused, RetryAfter: minRetryAfter}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newTestQueue(tt.places...)
			got := q.submit(1, func(r *Request) { r.Zone, r.LatencyTarget, r.Exclude = "a", tt.target, tt.exclude })
			got.ID, got.Incarnation = 0, 0
			wantEqual(t, "reply", got, tt.want)
		})
	}
}

// TestRetryTiming guards against clients that gain by retrying early, and against retry-after
// times that are forgotten too early or remembered too long.
func TestRetryTiming(t *testing.T) {
	tests := []struct {
		name   string
		at     float64       // time of the second attempt as a share of the retry-after time
		plus   time.Duration // added to this time
		target time.Duration // latency target of the second attempt
		state  State
		first  bool // granted before a new request that arrived earlier
	}{
		{"early, with no time to wait", 0.5, 0, 250 * time.Millisecond, Refused, false},
		{"early", 0.5, 0, time.Minute, Waiting, false},
		{"on time", 1, 0, time.Minute, Waiting, true},
		{"a little late", 1, 900 * time.Millisecond, time.Minute, Waiting, true},
		{"too late", 1, 1100 * time.Millisecond, time.Minute, Waiting, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newTestQueue()
			q.states(1, 2)
			client := func(r *Request) { r.Fingerprint, r.Deadline = 7, time.Minute }
			first := q.submit(3, client, func(r *Request) { r.LatencyTarget = 150 * time.Millisecond })
			if first.State != Refused || first.RetryAfter < minRetryAfter || first.RetryAfter > maxRetryAfter {
				t.Fatalf("first attempt: %+v, want a refusal", first)
			}
			q.clock.now = q.clock.now.Add(time.Duration(tt.at*float64(first.RetryAfter)) + tt.plus)
			long := func(r *Request) { r.LatencyTarget, r.Deadline = time.Minute, time.Hour }
			q.submit(4, long)
			second := q.submit(5, client, long, func(r *Request) { r.LatencyTarget = tt.target })
			if second.State != tt.state {
				t.Fatalf("second attempt: %+v, want %v", second, tt.state)
			}
			if left := max(first.RetryAfter/2, minRetryAfter); second.State == Refused && second.RetryAfter != left {
				t.Errorf("time left: %s, want %s", second.RetryAfter, left)
			}
			later := func(r *Request) { r.LatencyTarget, r.Deadline = 2*time.Minute, time.Hour }
			if q.submit(6, later); tt.target == time.Minute && tt.at < 1 {
				q.submit(7, later) // a new request that arrives after the early retry also goes before it
				q.release(1)
				if got := q.granted()[0]; got == 5 {
					t.Error("an early retry is granted before a new request")
				}
				return
			}
			q.release(1)
			if got := q.granted()[0] == 5; got != tt.first {
				t.Errorf("granted before the new request: %v, want %v", got, tt.first)
			}
		})
	}
}

// TestShedReplicaGetsOnlyItsSlots guards against a replica without a queue that repeatedly gets
// requests beyond its slots, all of which it refuses.
func TestShedReplicaGetsOnlyItsSlots(t *testing.T) {
	q := newTestQueue(AvailableReplica{Hash: 1, Slots: 4, Pace: 1})
	long := func(r *Request) { r.LatencyTarget, r.Deadline = time.Minute, time.Hour }
	for id := range uint64(10) {
		q.submit(id+1, long)
	}
	inProgress := q.Stats().InProgress
	q.Release("r", 1, uint64(inProgress), Usage{Replica: 1, Running: 4, Slots: 4, Failed: true, Shed: true})
	q.TakeDecisions()
	if got := q.Stats().InProgress; got != 4 {
		t.Errorf("%d requests in progress after one of %d was shed, want the 4 slots", got, inProgress)
	}
	q.clock.now = q.clock.now.Add(shedCooldown)
	q.TakeDecisions()
	if got := q.Stats().InProgress; got != inProgress {
		t.Errorf("%d requests in progress a while later, want %d again", got, inProgress)
	}
}

// TestWaitingRefusedAfterCapacityLoss guards against requests that wait until their latency target
// has passed although the capacity that they waited for is lost.
func TestWaitingRefusedAfterCapacityLoss(t *testing.T) {
	q := newTestQueue(AvailableReplica{Hash: 1, Slots: 9, Pace: 1}, AvailableReplica{Hash: 2, Slots: 1, Pace: 1})
	for i := range uint64(50) {
		q.submit(i + 1)
	}
	waited := q.Stats().Waiting
	q.SetReplicas([]AvailableReplica{{Hash: 2, Slots: 1, Pace: 1}})
	q.clock.now = q.clock.now.Add(checkInterval)
	replies, _ := q.TakeDecisions()
	// One slot serves 10 requests of 100 ms a second.
	if remaining := waited - len(replies); waited < 30 || remaining > 12 {
		t.Errorf("%d waited and %d still do, want at least 30 and at most 12", waited, remaining)
	}
}

// TestBounds guards against state that grows with the requests of clients.
func TestBounds(t *testing.T) {
	q := newTestQueue(AvailableReplica{Hash: 1, Slots: 1000, Load: 1250, Pace: 1})
	for i := range uint64(10000) {
		q.clock.now = q.clock.now.Add(100 * time.Microsecond)
		q.submit(i+1, func(r *Request) {
			r.LatencyTarget, r.Deadline, r.Fingerprint = 100*time.Second, time.Hour, i+1
			r.Organisation, r.Priority = fmt.Sprint(i%700), int(i)
		})
	}
	s := q.Stats()
	if s.Waiting != maxWaiting || s.Fingerprints > maxRefusedClients || s.Organisations > maxOrganisations+1 {
		t.Errorf("%+v, want %d waiting and bounded numbers", s, maxWaiting)
	}
	if n := len(q.ended.replies); n > maxEndedIDs || len(q.ended.order) > maxEndedIDs || len(q.levels) > maxLevel+1 {
		t.Errorf("%d ended and %d levels, want bounded numbers", n, len(q.levels))
	}
}

func TestStop(t *testing.T) {
	q := newTestQueue()
	q.states(1, 2, 3)
	want := Reply{ID: 3, Incarnation: 1, State: Refused, RetryAfter: 100 * time.Millisecond}
	wantEqual(t, "refused by Stop", q.Stop(), []Decision{{Router: "r", Reply: want}})
	q.release(1)
	want.ID = 4
	wantEqual(t, "request after Stop", q.submit(4), want)
}

// TestConcurrent is for the race detector.
func TestConcurrent(t *testing.T) {
	q := NewQueue(peridotusher.ClockFunc(time.Now))
	q.SetReplicas([]AvailableReplica{{Hash: 1, Slots: 4}})
	var group errgroup.Group
	for i := range uint64(4) {
		group.Go(func() error {
			for j := range uint64(200) {
				id := i*1000 + j
				q.Submit(Request{ID: id, LatencyTarget: time.Second, Fingerprint: id})
				q.TakeDecisions()
				q.Release("", 0, id, Usage{Replica: 1, Pace: 1, Slots: 4})
				q.Cancel("", 0, id)
				q.SetReplicas([]AvailableReplica{{Hash: 1, Slots: 4, Load: int(j)}})
				q.Stats()
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if s := q.Stats(); s.InProgress+s.Waiting != 0 {
		t.Errorf("%+v, want none in progress or waiting", s)
	}
}

// BenchmarkQueue measures the handling of one request while 1,000 requests of 24 organisations
// wait.
func BenchmarkQueue(b *testing.B) {
	var places []AvailableReplica
	for i := range uint32(5) {
		places = append(places, AvailableReplica{Hash: i + 1, Slots: 6, Pace: 1})
	}
	q := newTestQueue(places...)
	held := []uint64{}
	replica := map[uint64]uint32{}
	recordGrant := func(r Reply) {
		if r.State == Granted {
			held = append(held, r.ID)
			replica[r.ID] = r.Replica
		}
	}
	for i := range uint64(b.N + 2000) {
		if i == 2000 {
			b.ResetTimer()
		}
		q.clock.now = q.clock.now.Add(5 * time.Millisecond)
		recordGrant(q.submit(i, func(r *Request) {
			r.LatencyTarget, r.Deadline, r.Fingerprint = time.Hour, time.Hour, i
			r.Organisation, r.Priority = fmt.Sprint(i%24), int(i%3)
		}))
		if i > 1035 && len(held) > 0 {
			id := held[0]
			held = held[1:]
			q.Release("r", 1, id, Usage{
				Replica: replica[id], Pace: 1, Slots: 6, Running: 6, Took: 100 * time.Millisecond,
			})
			delete(replica, id)
		}
		replies, _ := q.TakeDecisions()
		for _, d := range replies {
			recordGrant(d.Reply)
		}
	}
	b.ReportMetric(float64(q.Stats().Waiting), "waiting")
}

package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The parts of the tests' prompts.
const (
	common uint64 = iota + 1 // the first part of all prompts
	shared                   // the second part of many
	deadly                   // crashes replicas
	other
)

// testTable is a table with a clock that stands still until it is set.
type testTable struct {
	*Table
	now     time.Time
	crashed uint32 // replicas that have crashed
}

func newTestTable() *testTable {
	t := &testTable{now: time.Unix(1_000_000, 0)}
	t.Table = NewTable(t)
	return t
}

// Now implements peridotusher.Clock.
func (t *testTable) Now() time.Time { return t.now }

func (t *testTable) advance(d time.Duration) { t.now = t.now.Add(d) }

// crash has a replica end while it has a request with each of the prompts, 100 ms after they were
// sent.
func (t *testTable) crash(prompts ...[]uint64) Update {
	const duration = 100 * time.Millisecond
	t.advance(duration)
	t.crashed++
	c := Crash{Replica: t.crashed}
	for _, parts := range prompts {
		c.Suspects = append(c.Suspects, Suspect{Age: duration, Parts: parts})
	}
	return t.Merge(Update{Crashes: []Crash{c}})
}

func (t *testTable) isBlocked(parts ...uint64) bool {
	_, blocked := t.Blocked(parts)
	return blocked
}

// rules returns the parts of the rules in force.
func rules(t *Table) [][]uint64 {
	var out [][]uint64
	for _, r := range t.Rules() {
		out = append(out, r.Parts())
	}
	return out
}

func TestPartIsBlamedAfterSuccessiveCrashes(t *testing.T) {
	table := newTestTable()
	for i := range uint64(minCrashes) {
		if table.isBlocked(common, shared, deadly) {
			t.Errorf("blocked after %d crashes", i)
		}
		// Sound requests end with the others, each time different ones.
		table.crash([]uint64{common, 100 + i, deadly}, []uint64{common, 200 + i}, []uint64{300 + i, 400 + i})
	}
	if diff := cmp.Diff([][]uint64{{common, deadly}}, rules(table.Table)); diff != "" {
		t.Errorf("rules (-want +got):\n%s", diff)
	}
	for _, sound := range [][]uint64{{common}, {common, shared}, {common, 100}, {deadly + 1}, nil} {
		if table.isBlocked(sound...) {
			t.Errorf("the sound parts %v are blocked", sound)
		}
	}
	table.advance(time.Millisecond)
	table.RecordBegun([]uint64{common, shared})
	if !table.isBlocked(other, deadly) {
		t.Error("the part is not blocked with other parts, though the common one is sound")
	}
}

// TestSoundPartsOfCrashingRequestsPass guards against sound requests that suffer: the requests
// that crash replicas have all other parts in common with them.
func TestSoundPartsOfCrashingRequestsPass(t *testing.T) {
	table := newTestTable()
	for range 2 * minCrashes {
		table.crash([]uint64{common, shared, deadly})
	}
	if table.isBlocked(common, shared) || table.isBlocked(common, shared, other) {
		t.Error("requests without the part are blocked")
	}
	if !table.isBlocked(common, shared, deadly) {
		t.Error("requests with the part are not blocked")
	}
	// A request with other parts that crashes too shows which one it is.
	table.crash([]uint64{other, deadly})
	if diff := cmp.Diff([][]uint64{{deadly}}, rules(table.Table)); diff != "" {
		t.Errorf("rules (-want +got):\n%s", diff)
	}
}

// TestReplicasThatEndTogetherBlameNothing guards against parts that are blamed for an outage.
func TestReplicasThatEndTogetherBlameNothing(t *testing.T) {
	table := newTestTable()
	sent := table.now
	table.advance(time.Second)
	for replica := range uint32(12) {
		table.RecordCrash(replica, sent, []uint64{common, shared})
		table.advance(20 * time.Millisecond)
	}
	if got := rules(table.Table); got != nil {
		t.Errorf("blocked %v", got)
	}
}

// TestLateReportsBlameNothing has a router read reports of an outage twice, the second time after it
// stood still.
func TestLateReportsBlameNothing(t *testing.T) {
	table := newTestTable()
	var outage Update
	for replica := range uint32(6) {
		suspects := []Suspect{{Age: 200 * time.Millisecond, Parts: []uint64{common, shared}}}
		outage.Crashes = append(outage.Crashes, Crash{Replica: replica, Age: time.Duration(replica) * 30 * time.Millisecond, Suspects: suspects})
	}
	table.Merge(outage)
	table.advance(3 * time.Second)
	table.Merge(outage)
	if got := rules(table.Table); got != nil {
		t.Errorf("blocked %v", got)
	}
}

func TestAnsweredPartIsSound(t *testing.T) {
	table := newTestTable()
	for range 4 * minCrashes {
		table.crash([]uint64{common, shared})
		table.crash([]uint64{common, shared})
		table.advance(time.Millisecond)
		table.RecordBegun([]uint64{common})
		table.RecordBegun([]uint64{shared})
	}
	if got := rules(table.Table); got != nil {
		t.Errorf("blocked %v, though each was answered after two crashes", got)
	}
}

// TestBlockEnds has a block end: one request is sent on trial. A crash renews the block for longer,
// an answer ends it.
func TestBlockEnds(t *testing.T) {
	table := newTestTable()
	table.TrialDelay = func([]uint64) time.Duration { return time.Second }
	admits := func() bool {
		_, ok := table.Admit([]uint64{deadly})
		return ok
	}
	for range minCrashes {
		table.crash([]uint64{deadly})
	}
	for block := minBlock; block <= maxBlock; block *= 2 {
		if left, _ := table.Blocked([]uint64{deadly}); left != block {
			t.Fatalf("blocked for %v, want %v", left, block)
		}
		for _, step := range []struct {
			after time.Duration
			admit bool
		}{{0, false}, {block, false}, {time.Second, true}, {0, false}, {trialInterval - 1, false}, {1, true}} {
			table.advance(step.after)
			if admits() != step.admit {
				t.Fatalf("%v after the step before: admitted is %v", step.after, !step.admit)
			}
		}
		if _, ok := table.Admit([]uint64{other}); !ok {
			t.Fatal("a request without the part is not admitted")
		}
		table.crash([]uint64{deadly})
	}
	table.advance(maxBlock)
	table.RecordBegun([]uint64{deadly})
	table.crash([]uint64{deadly})
	for range 2 {
		if !admits() {
			t.Error("blocked by one crash after an answer")
		}
	}
	table.advance(2 * retention)
	table.Expire()
	if diff := cmp.Diff(0, len(table.crashes)+len(table.soundAt)); diff != "" {
		t.Errorf("state that is left after its time (-want +got):\n%s", diff)
	}
}

// TestUpdatesInAnyOrder has tables merge the same crashes in different orders and repeatedly.
func TestUpdatesInAnyOrder(t *testing.T) {
	type sentUpdate struct {
		at     time.Time
		update Update
	}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		source, copied := newTestTable(), newTestTable()
		var sent []sentUpdate
		for range minCrashes + rng.IntN(6) {
			culprit := []uint64{common, 10 + rng.Uint64N(3), deadly}
			update := source.crash(culprit, []uint64{common, 20 + rng.Uint64N(5)})
			recent := Update{Crashes: source.Recent(maxCrashes)}
			sent = append(sent, sentUpdate{source.now, update}, sentUpdate{source.now, recent})
		}
		sent = append(sent, sent...)
		rng.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
		merge := func(s sentUpdate) Update {
			copied.now = s.at // an update arrives when it is sent
			defer func() { copied.now = source.now }()
			return copied.Merge(s.update)
		}
		for _, s := range sent {
			merge(s)
		}
		if diff := cmp.Diff(rules(source.Table), rules(copied.Table)); diff != "" {
			t.Errorf("seed %d: rules (-want +got):\n%s", seed, diff)
		}
		for _, s := range sent {
			if news := merge(s); !news.IsEmpty() {
				t.Errorf("seed %d: a known update is published again: %v", seed, news)
			}
		}
	}
}

// TestImmediateRetriesCount guards against crashes that do not count at other routers, because a retry
// was sent right after the crash before and ages are rounded.
func TestImmediateRetriesCount(t *testing.T) {
	table := newTestTable()
	for replica := range uint32(minCrashes) {
		sent := table.now
		table.advance(1700 * time.Microsecond)
		table.RecordCrash(replica, sent, []uint64{deadly})
	}
	newcomer := newTestTable()
	newcomer.now = table.now
	update := Update{Crashes: table.Recent(maxCrashes)}
	for i := range update.Crashes {
		c := &update.Crashes[i]
		c.Age = c.Age.Truncate(time.Millisecond)
		c.Suspects[0].Age = (c.Suspects[0].Age + time.Millisecond - 1).Truncate(time.Millisecond)
	}
	newcomer.Merge(update)
	if !table.isBlocked(deadly) || !newcomer.isBlocked(deadly) {
		t.Errorf("blocked %v, at a newcomer %v", rules(table.Table), rules(newcomer.Table))
	}
}

// TestNewcomerLearnsRules has a table learn the rules from what is published at regular intervals.
func TestNewcomerLearnsRules(t *testing.T) {
	table := newTestTable()
	for i := range uint64(10) {
		table.crash([]uint64{common, 100 + i, deadly}, []uint64{common, 200 + i})
	}
	table.advance(minBlock / 2)
	table.RecordBegun([]uint64{common})
	newcomer := newTestTable()
	newcomer.now = table.now
	newcomer.Merge(Update{Crashes: table.Recent(4)})
	if !newcomer.isBlocked(other, common, deadly) || newcomer.isBlocked(common, other) {
		t.Errorf("the newcomer blocks %v", rules(newcomer.Table))
	}
}

// TestOtherRoutersLearnThatPartIsSound has one router blame a part that another one knows to be
// sound.
func TestOtherRoutersLearnThatPartIsSound(t *testing.T) {
	a, b := newTestTable(), newTestTable()
	exchange := func(from, to *testTable, u Update) {
		to.now = from.now
		for reply := to.Merge(u); !reply.IsEmpty(); reply = to.Merge(reply) {
			from.Merge(reply)
		}
	}
	for range minCrashes {
		exchange(a, b, a.crash([]uint64{shared}))
		b.advance(time.Millisecond)
		b.RecordBegun([]uint64{shared})
	}
	if a.isBlocked(shared) || b.isBlocked(shared) {
		t.Errorf("the sound part is blocked: %v, %v", rules(a.Table), rules(b.Table))
	}
	// Blocked at one router, it is released when another one has it answered.
	for range minCrashes {
		a.crash([]uint64{other})
	}
	b.now = a.now
	b.Merge(Update{Crashes: a.Recent(maxCrashes)})
	b.advance(time.Second)
	a.now = b.now
	a.Merge(b.RecordBegun([]uint64{other}))
	if a.isBlocked(other) {
		t.Error("a part that another router had answered stays blocked")
	}
}

// TestMemoryIsBounded has more crashes, suspects and parts than are remembered, while one part is
// blocked.
func TestMemoryIsBounded(t *testing.T) {
	table := newTestTable()
	for range minCrashes {
		table.crash([]uint64{deadly})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range maxCrashes {
		prompts := make([][]uint64, 2*maxSuspects)
		for i := range prompts {
			for range 1 + rng.IntN(2*maxParts) {
				prompts[i] = append(prompts[i], rng.Uint64())
			}
		}
		table.crash(prompts...)
	}
	parts := 0
	for _, c := range table.crashes {
		for _, s := range c.suspects {
			parts += len(s.parts)
		}
	}
	if n := len(table.crashes); n > maxCrashes || parts > maxCrashes*maxSuspects*maxParts {
		t.Errorf("%d crashes with %d parts are remembered", n, parts)
	}
	if !table.isBlocked(deadly) {
		t.Error("the blocked part was forgotten for others without a rule")
	}
}

// TestManyBlamedPartsBlockNothing guards against a fleet whose replicas crash for another reason
// and that then serves nobody.
func TestManyBlamedPartsBlockNothing(t *testing.T) {
	table := newTestTable()
	for range minCrashes {
		for part := range uint64(maxRules + 1) {
			table.crash([]uint64{100 + part})
		}
	}
	if got := rules(table.Table); got != nil {
		t.Errorf("%d rules apply", len(got))
	}
}

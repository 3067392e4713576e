package peridotusher

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestLoadBound(t *testing.T) {
	tests := []struct {
		name  string
		loads []int // of the engines; the ask is for the first
		work  int
		want  bool
	}{
		{"empty fleet", []int{0, 0, 0, 0}, 1, true},
		{"one above the others", []int{1, 0, 0, 0}, 1, false},
		{"at the mean", []int{4, 4, 4, 4}, 1, true},
		{"at the limit", []int{5, 4, 4, 4}, 1, true},
		{"above the limit", []int{6, 4, 4, 4}, 1, false},
		{"large work below the mean", []int{0, 1, 1, 1}, 4, true},
		{"large work above the mean", []int{4, 1, 1, 1}, 4, false},
		{"no slots left", []int{8, 8, 8, 8}, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			l := NewLedger()
			limits := LoadLimits{Bound: 1.25, Slots: 8}
			for k, load := range tt.loads {
				limits.Engines = append(limits.Engines, engineName(k))
				l.TakeOwnership(now, engineName(k))
				for p := range load {
					l.Adopt(now, HeldPermit{Permit: PermitID(fmt.Sprintf("%d-%d", k, p)), Ask: Ask{Engine: engineName(k), Request: Request{Work: 1}}}, now.Add(time.Minute))
				}
			}
			now = now.Add(takeoverPeriod)
			got := l.Admit(now, "new", Ask{Engine: engineName(0), Request: Request{Work: tt.work}}, now.Add(time.Minute), limits)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("admitted (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLedgerRandomOperations admits permits, releases them once or twice, and lets them
// expire, in random order. Every admission must keep the bound, and the counts must be
// exact.
func TestLedgerRandomOperations(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 0))
		m := &ledgerModel{ledger: NewLedger(), now: time.Unix(1_000_000, 0), held: map[PermitID]modelPermit{}}
		m.limits = LoadLimits{Bound: 1 + r.Float64(), Slots: 8}
		for k := range 2 + r.IntN(6) {
			m.limits.Engines = append(m.limits.Engines, engineName(k))
			m.ledger.TakeOwnership(m.now, engineName(k))
		}
		m.now = m.now.Add(takeoverPeriod)
		for step := range 500 {
			if problem := m.step(r, step); problem != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, problem)
			}
		}
	}
}

// ledgerModel is a simple model of what the ledger should count.
type ledgerModel struct {
	ledger *Ledger
	limits LoadLimits
	now    time.Time
	held   map[PermitID]modelPermit
	ended  []modelPermit
}

type modelPermit struct {
	id      PermitID
	engine  EngineID
	work    int
	expires time.Time
}

func (m *ledgerModel) step(r *rand.Rand, step int) string {
	const expiry = 10 * time.Second
	switch r.IntN(6) {
	case 0, 1, 2:
		p := modelPermit{PermitID(fmt.Sprint(step)), m.limits.Engines[r.IntN(len(m.limits.Engines))], 1 + 3*r.IntN(2), m.now.Add(expiry)}
		m.expire(p.engine)
		want := m.fits(p)
		ask := Ask{Engine: p.engine, Request: Request{Work: p.work}}
		if got := m.ledger.Admit(m.now, p.id, ask, p.expires, m.limits); got != want {
			return fmt.Sprintf("work %d on %s admitted: %v, want %v", p.work, p.engine, got, want)
		}
		if want {
			m.held[p.id] = p
		}
	case 3:
		for id, p := range m.held {
			m.ledger.Release(m.now, p.engine, id)
			delete(m.held, id)
			m.ended = append(m.ended, p)
			break
		}
	case 4:
		if len(m.ended) > 0 {
			p := m.ended[r.IntN(len(m.ended))]
			if _, known := m.ledger.Release(m.now, p.engine, p.id); known {
				return fmt.Sprintf("permit %s was returned twice", p.id)
			}
		}
	default:
		m.now = m.now.Add(time.Duration(r.IntN(1000)) * time.Millisecond)
		for _, e := range m.limits.Engines {
			m.expire(e)
			m.ledger.SetReported(m.now, e, EngineReport{Work: m.work(e), Sampled: m.now})
		}
	}
	for _, e := range m.limits.Engines {
		if want, got := m.work(e), m.ledger.Work(e); want != got {
			return fmt.Sprintf("work of %s is %d, want %d", e, got, want)
		}
	}
	return ""
}

func (m *ledgerModel) expire(engine EngineID) {
	for id, p := range m.held {
		if p.engine == engine && m.now.After(p.expires) {
			delete(m.held, id)
			m.ended = append(m.ended, p)
		}
	}
}

func (m *ledgerModel) work(engine EngineID) int {
	sum := 0
	for _, p := range m.held {
		if p.engine == engine {
			sum += p.work
		}
	}
	return sum
}

// fits states the load bound without rounding: the load is an integer, so it is below
// the rounded-up limit exactly if it is below the limit itself.
func (m *ledgerModel) fits(p modelPermit) bool {
	total := p.work
	for _, e := range m.limits.Engines {
		total += m.work(e)
	}
	load := m.work(p.engine)
	share := m.limits.Bound * (float64(total) / float64(len(m.limits.Engines)))
	return load+p.work <= m.limits.Slots && float64(load) < share
}

// TestPermitsOfCrashedIngressDoNotRaiseLimit holds a permit whose work the engine no
// longer reports, as after a crash of its ingress. The permit must count in the load
// of its engine, but not in the total that limits other engines.
func TestPermitsOfCrashedIngressDoNotRaiseLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := NewLedger()
	limits := LoadLimits{Bound: 1.25, Slots: 8, Engines: []EngineID{"x", "y"}}
	for _, e := range limits.Engines {
		l.TakeOwnership(now, e)
	}
	now = now.Add(takeoverPeriod)
	l.Adopt(now, HeldPermit{Permit: "dead", Ask: Ask{Engine: "x", Request: Request{Work: 4}}}, now.Add(time.Minute))
	l.Adopt(now, HeldPermit{Permit: "live", Ask: Ask{Engine: "y", Request: Request{Work: 2}}}, now.Add(time.Minute))
	now = now.Add(time.Second)
	l.SetReported(now, "x", EngineReport{Sampled: now})
	if diff := cmp.Diff(4, l.Work("x")); diff != "" {
		t.Errorf("work of the engine (-want +got):\n%s", diff)
	}
	if l.Fits(now, "y", 1, limits) {
		t.Error("work that has ended raised the limit of another engine")
	}
}

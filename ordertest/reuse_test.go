package ordertest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/engine"
	"peridotusher.example/peridotusher/testbed"
)

// The traffic of the measurement of cache reuse.
const (
	reuseChats    = 80
	reuseWarmUp   = 25 * time.Second
	reuseWindow   = 60 * time.Second
	minThink      = 4 * time.Second
	thinkRange    = 8 * time.Second
	prefixBytes   = 6000 // of a chat's first message
	questionBytes = 200
	exitDelay     = 10 * time.Second // from the leave order to the engine's end
)

// TestReuseAfterLeaving measures the cache reuse in the 60 s after an engine
// leaves and another joins, with and without export and warm-up.
func TestReuseAfterLeaving(t *testing.T) {
	needLong(t)
	for _, seed := range []uint64{1, 2} {
		for _, policy := range []string{"exports = 0\nwarmup = 0s", "exports = 50\nwarmup = 0s", "exports = 0\nwarmup = 30s", "exports = 50\nwarmup = 30s"} {
			name := fmt.Sprintf("seed %d %s", seed, strings.ReplaceAll(policy, "\n", " "))
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, config{versions: "v1:100", policy: policy}, testbed.Options{Seed: seed})
				m := &reuse{fleet: f, seed: seed}
				m.run()
				t.Log(m.line(name))
				if m.turns == 0 {
					t.Error("no chat returned")
				}
				for _, p := range m.problems {
					t.Error(p)
				}
			})
		}
	}
}

// reuse counts the prompt tokens of returning chats.
type reuse struct {
	fleet *fleet
	seed  uint64

	mu       sync.Mutex
	left     time.Time       // when the engine left
	moved    map[string]bool // chats of the engine that left, until they return
	turns    int
	prompt   int
	cached   int
	first    int // turns of the chats that were moved, the first of each
	firstIn  int // prompt tokens of those
	firstHit int // cached ones of those
	problems []string
}

func (m *reuse) run() {
	f := m.fleet
	begin := time.Now()
	end := begin.Add(reuseWarmUp + reuseWindow)
	var group errgroup.Group
	for n := range reuseChats {
		group.Go(func() error {
			m.chat(n, end)
			return nil
		})
	}
	group.Go(func() error {
		time.Sleep(reuseWarmUp)
		return m.leave()
	})
	if err := group.Wait(); err != nil {
		f.t.Error(err)
	}
}

// leave tells one engine to leave and adds another one.
func (m *reuse) leave() error {
	f := m.fleet
	e := f.Engines[0]
	m.mu.Lock()
	m.left = time.Now()
	m.moved = map[string]bool{}
	m.mu.Unlock()
	f.order(e, engine.Order{ID: "leave", Kind: engine.OrderLeave})
	for _, chat := range e.Chats() {
		m.mu.Lock()
		m.moved[chat] = true
		m.mu.Unlock()
	}
	if _, err := f.AddEngine("a"); err != nil {
		return err
	}
	time.Sleep(exitDelay)
	f.Unlist(e.Name)
	e.Stop()
	return nil
}

// chat sends the turns of one chat until the end.
func (m *reuse) chat(n int, end time.Time) {
	random := rand.New(rand.NewPCG(m.seed, uint64(n)))
	chat := fmt.Sprintf("reuse-%d", n)
	messages := []map[string]string{{"role": "user", "content": chat + strings.Repeat(" context", prefixBytes/len(" context"))}}
	time.Sleep(time.Duration(random.Int64N(int64(minThink))))
	for turn := 0; time.Now().Before(end); turn++ {
		router := m.fleet.Routers[random.IntN(len(m.fleet.Routers))]
		got := converse(router, chat, messages)
		m.add("shop/"+chat, turn, got)
		messages = append(messages, map[string]string{"role": "user", "content": strings.Repeat("x", questionBytes)})
		time.Sleep(minThink + time.Duration(random.Int64N(int64(thinkRange))))
	}
}

func (m *reuse) add(chat string, turn int, got result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if got.problem != "" {
		m.problems = append(m.problems, got.problem)
		return
	}
	if turn == 0 || m.left.IsZero() {
		return
	}
	m.turns++
	m.prompt += got.prompt
	m.cached += got.cached
	if m.moved[chat] {
		delete(m.moved, chat)
		m.first++
		m.firstIn += got.prompt
		m.firstHit += got.cached
	}
}

func (m *reuse) line(name string) string {
	return fmt.Sprintf("%s: reuse=%.4f turns=%d moved_reuse=%.4f moved_chats=%d",
		name, share(m.cached, m.prompt), m.turns, share(m.firstHit, m.firstIn), m.first)
}

func share(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

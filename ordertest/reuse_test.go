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

// The traffic while cache reuse is measured.
const (
	reuseChats     = 80
	reuseWarmUp    = 25 * time.Second
	reuseWindow    = 60 * time.Second
	minTurnPause   = 4 * time.Second
	turnPauseRange = 8 * time.Second
	prefixBytes    = 6000 // length of a chat's first message
	questionBytes  = 200
	exitDelay      = 10 * time.Second // from the leave order to the engine's stop
)

// TestReuseAfterLeaving measures the cache reuse in the 60 s after one engine leaves and
// another joins, with and without the export of prefixes and the warm-up of the new engine.
func TestReuseAfterLeaving(t *testing.T) {
	requireLong(t)
	for _, seed := range []uint64{1, 2} {
		for _, policy := range []string{"exports = 0\nwarmup = 0s", "exports = 50\nwarmup = 0s", "exports = 0\nwarmup = 30s", "exports = 50\nwarmup = 30s"} {
			name := fmt.Sprintf("seed %d %s", seed, strings.ReplaceAll(policy, "\n", " "))
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, config{versions: "v1:100", policy: policy}, testbed.Options{Seed: seed})
				m := &reuseMeasurement{fleet: f, seed: seed}
				m.run()
				t.Log(m.summary(name))
				if m.turns == 0 {
					t.Error("no chat sent another turn after the engine left")
				}
				for _, p := range m.problems {
					t.Error(p)
				}
			})
		}
	}
}

// reuseMeasurement counts the prompt tokens, and the cached ones of them, of turns after
// an engine left.
type reuseMeasurement struct {
	fleet *fleet
	seed  uint64

	mu          sync.Mutex
	leftAt      time.Time       // time of the leave order
	movedChats  map[string]bool // chats cached at the leaving engine that have sent no turn since
	turns       int
	prompt      int
	cached      int
	movedTurns  int // first turns of moved chats after the leave order
	movedPrompt int // prompt tokens of these turns
	movedCached int // cached prompt tokens of these turns
	problems    []string
}

func (m *reuseMeasurement) run() {
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
		return m.replaceEngine()
	})
	if err := group.Wait(); err != nil {
		f.t.Error(err)
	}
}

// replaceEngine orders one engine to leave and adds another one.
func (m *reuseMeasurement) replaceEngine() error {
	f := m.fleet
	e := f.Engines[0]
	m.mu.Lock()
	m.leftAt = time.Now()
	m.movedChats = map[string]bool{}
	m.mu.Unlock()
	f.sendOrder(e, engine.Order{ID: "leave", Kind: engine.OrderLeave})
	for _, chat := range e.Chats() {
		m.mu.Lock()
		m.movedChats[chat] = true
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

// chat sends the turns of one chat until the time end.
func (m *reuseMeasurement) chat(n int, end time.Time) {
	random := rand.New(rand.NewPCG(m.seed, uint64(n)))
	chat := fmt.Sprintf("reuse-%d", n)
	messages := []map[string]string{{"role": "user", "content": chat + strings.Repeat(" context", prefixBytes/len(" context"))}}
	time.Sleep(time.Duration(random.Int64N(int64(minTurnPause))))
	for turn := 0; time.Now().Before(end); turn++ {
		router := m.fleet.Routers[random.IntN(len(m.fleet.Routers))]
		got := sendChat(router, chat, messages)
		m.add("shop/"+chat, turn, got)
		messages = append(messages, map[string]string{"role": "user", "content": strings.Repeat("x", questionBytes)})
		time.Sleep(minTurnPause + time.Duration(random.Int64N(int64(turnPauseRange))))
	}
}

func (m *reuseMeasurement) add(chat string, turn int, got result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if got.problem != "" {
		m.problems = append(m.problems, got.problem)
		return
	}
	if turn == 0 || m.leftAt.IsZero() {
		return
	}
	m.turns++
	m.prompt += got.prompt
	m.cached += got.cached
	if m.movedChats[chat] {
		delete(m.movedChats, chat)
		m.movedTurns++
		m.movedPrompt += got.prompt
		m.movedCached += got.cached
	}
}

func (m *reuseMeasurement) summary(name string) string {
	return fmt.Sprintf("%s: reuse=%.4f turns=%d moved_reuse=%.4f moved_chats=%d",
		name, ratio(m.cached, m.prompt), m.turns, ratio(m.movedCached, m.movedPrompt), m.movedTurns)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

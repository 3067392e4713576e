package peer

import (
	"math/rand/v2"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

// maxDoublings bounds the growth of a dial's backoff.
const maxDoublings = 4

// dialTable holds the state of the dials to each address.
type dialTable struct {
	clock peridotusher.Clock
	base  time.Duration

	mu     sync.Mutex
	jitter *rand.Rand
	states map[string]*dialState
}

// dialState is what is known of the dials to one address.
type dialState struct {
	busy     bool
	failures int
	next     time.Time
	router   peridotusher.RouterID // the router that answered last
	err      error                 // the last failure
}

func newDialTable(clock peridotusher.Clock, base time.Duration, jitter *rand.Rand) *dialTable {
	return &dialTable{clock: clock, base: base, jitter: jitter, states: make(map[string]*dialState)}
}

// begin reports whether the address may be dialled now, and marks it as busy.
func (t *dialTable) begin(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[address]
	if !ok {
		s = &dialState{}
		t.states[address] = s
	}
	if s.busy || t.clock.Now().Before(s.next) {
		return false
	}
	s.busy = true
	return true
}

// failed ends a dial and returns how many failed in a row. The next one waits
// for a jittered exponential backoff.
func (t *dialTable) failed(address string, err error) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[address]
	if !ok {
		return 0
	}
	backoff := t.base << min(s.failures, maxDoublings)
	s.next = t.clock.Now().Add(backoff/2 + time.Duration(t.jitter.Int64N(int64(backoff))))
	s.failures++
	s.busy = false
	s.err = err
	return s.failures
}

// succeeded ends a dial that a router answered.
func (t *dialTable) succeeded(address string, router peridotusher.RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[address]; ok {
		*s = dialState{router: router}
	}
}

// routerAt returns the router that last answered at an address.
func (t *dialTable) routerAt(address string) peridotusher.RouterID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[address]; ok {
		return s.router
	}
	return ""
}

// busy reports whether a dial to the address is under way.
func (t *dialTable) busy(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[address]
	return ok && s.busy
}

// lastError returns the last failure to dial an address since it answered.
func (t *dialTable) lastError(address string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[address]; ok {
		return s.err
	}
	return nil
}

// keep forgets the addresses that no member has, unless a dial is under way.
func (t *dialTable) keep(members []peridotusher.Member) {
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Address()] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, s := range t.states {
		if !known[address] && !s.busy {
			delete(t.states, address)
		}
	}
}

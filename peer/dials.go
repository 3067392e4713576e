package peer

import (
	"math/rand/v2"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

// maxDoublings limits the exponential growth of a dial's backoff.
const maxDoublings = 4

// dialTable holds the state of the dials to each address.
type dialTable struct {
	clock       peridotusher.Clock
	baseBackoff time.Duration

	mu     sync.Mutex
	jitter *rand.Rand
	states map[string]*dialState
}

// dialState is the state of the dials to one address.
type dialState struct {
	dialing  bool
	failures int
	nextDial time.Time
	router   peridotusher.RouterID // the router that answered last
	err      error                 // the last failure
}

func newDialTable(clock peridotusher.Clock, base time.Duration, jitter *rand.Rand) *dialTable {
	return &dialTable{clock: clock, baseBackoff: base, jitter: jitter, states: make(map[string]*dialState)}
}

// tryStart reports whether the address may be dialled now, and if so marks a
// dial as in progress.
func (t *dialTable) tryStart(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[address]
	if !ok {
		s = &dialState{}
		t.states[address] = s
	}
	if s.dialing || t.clock.Now().Before(s.nextDial) {
		return false
	}
	s.dialing = true
	return true
}

// failed records that a dial failed and returns the number of consecutive
// failures. The next dial waits for a jittered exponential backoff.
func (t *dialTable) failed(address string, err error) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[address]
	if !ok {
		return 0
	}
	backoff := t.baseBackoff << min(s.failures, maxDoublings)
	s.nextDial = t.clock.Now().Add(backoff/2 + time.Duration(t.jitter.Int64N(int64(backoff))))
	s.failures++
	s.dialing = false
	s.err = err
	return s.failures
}

// succeeded records which router answered a dial, and resets the backoff.
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

// dialing reports whether a dial to the address is in progress.
func (t *dialTable) dialing(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[address]
	return ok && s.dialing
}

// lastError returns the error of the last dial to an address, nil if it
// succeeded.
func (t *dialTable) lastError(address string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[address]; ok {
		return s.err
	}
	return nil
}

// retainMembers removes the addresses that belong to no member, unless a dial
// to them is in progress.
func (t *dialTable) retainMembers(members []peridotusher.Member) {
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Address()] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, s := range t.states {
		if !known[address] && !s.dialing {
			delete(t.states, address)
		}
	}
}

package loadtest

import "sync"

// oracle simulates a cache that keeps every chat's prefix forever.
type oracle struct {
	mu     sync.Mutex
	stored map[string]int // tokens by chat
}

func newOracle() *oracle { return &oracle{stored: map[string]int{}} }

// reusable returns how many of the prompt tokens earlier turns of the chat have cached.
func (o *oracle) reusable(chat string, prompt int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return min(o.stored[chat], prompt)
}

// store records that a turn has cached its prompt and answer, of so many tokens.
func (o *oracle) store(chat string, tokens int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stored[chat] = max(o.stored[chat], tokens)
}

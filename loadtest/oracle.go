package loadtest

import "sync"

// oracle knows every prefix that any engine ever cached.
type oracle struct {
	mu     sync.Mutex
	stored map[string]int // tokens by chat
}

func newOracle() *oracle { return &oracle{stored: map[string]int{}} }

// reusable returns the prompt tokens that an earlier turn of the chat left.
func (o *oracle) reusable(chat string, prompt int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return min(o.stored[chat], prompt)
}

// store records that a whole turn left its prompt and answer.
func (o *oracle) store(chat string, tokens int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stored[chat] = max(o.stored[chat], tokens)
}

package service

import "sync"

// writeGuard runs a check right before the first byte of a call is written and
// records whether a byte may have been sent.
type writeGuard struct {
	check func() error

	mu           sync.Mutex
	writeStarted bool
	refusal      error // the error of every write, set by a failed check or by finish
}

// admit runs the check before the first write. If the check fails, it returns the
// check's error for this and every later write.
func (g *writeGuard) admit() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.writeStarted || g.refusal != nil {
		return g.refusal
	}
	if g.check != nil {
		g.refusal = g.check()
	}
	g.writeStarted = g.refusal == nil
	return g.refusal
}

// finish refuses all writes from now on, unless one has started. It returns whether one
// has, and the cause of the call's failure. The cause is the check's error if the check
// failed, because the transport may instead report the connection that it closed after
// the refused write. Otherwise the cause is err.
func (g *writeGuard) finish(err error) (written bool, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.writeStarted {
		return true, err
	}
	if g.refusal == nil {
		g.refusal = err
	}
	return false, g.refusal
}

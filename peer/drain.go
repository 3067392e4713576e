package peer

import (
	"time"

	"github.com/cockroachdb/errors"
)

// errDrainTimeout means that the peer did not end a draining session in time.
var errDrainTimeout = errors.New("peer kept a draining session open")

// drain starts no further calls or messages on the session but answers those of
// the peer. The session ends once both sides drain it and none of their calls is
// pending.
func (s *session) drain(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainLocked(cause)
}

// drainLocked is drain for callers that hold mu.
func (s *session) drainLocked(cause error) {
	if !s.usableLocked() {
		return
	}
	s.err = cause
	close(s.draining)
	s.finishDrainLocked()
}

// drainIfIdle drains the session on both sides if it is not in use and was not
// used after the given time. It holds mu so that no call starts between the check
// and the drain.
func (s *session) drainIfIdle(usedBefore time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUseLocked() || s.lastUsed.After(usedBefore) || !s.usableLocked() {
		return
	}
	if s.offer(&Envelope{Kind: uint32(KindIdle)}) == nil {
		s.drainLocked(errIdle)
	}
}

// receiveDrained records that the peer needs the session no longer.
func (s *session) receiveDrained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerDrained = true
	s.finishDrainLocked()
}

// finishDrainLocked ends a draining session that neither side uses, or notifies
// the peer that this side does not.
func (s *session) finishDrainLocked() {
	if s.closed || s.usableLocked() || s.inUseLocked() {
		return
	}
	if s.peerDrained {
		s.closeLocked(s.err)
		return
	}
	// If the queue is full, the session ends at the timeout.
	_ = s.offer(&Envelope{Kind: uint32(KindDrained)})
}

// awaitEnd waits until the session is closed, and closes it if it drains for
// longer than drainTimeout.
func (s *session) awaitEnd() {
	select {
	case <-s.done:
		return
	case <-s.draining:
	}
	timer := time.NewTimer(s.drainTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
		s.close(errDrainTimeout)
	}
}

// beginSend reserves the session for sending a message that has no reply.
func (s *session) beginSend() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.usableLocked() {
		return &ConnectionError{router: s.peer.ID(), err: s.err}
	}
	s.sending++
	return nil
}

// endSend ends a reservation.
func (s *session) endSend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending--
	s.finishDrainLocked()
}

// usable reports whether calls and messages may start on the session.
func (s *session) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usableLocked()
}

// usableLocked is usable for callers that hold mu.
func (s *session) usableLocked() bool {
	select {
	case <-s.draining:
		return false
	default:
		return !s.closed
	}
}

// inUseLocked reports whether a call is pending or a message is being queued.
func (s *session) inUseLocked() bool { return len(s.pending)+s.sending > 0 }

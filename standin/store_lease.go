package standin

import (
	"net/http"
	"time"
)

// storeLeaseMessage is the wire type of a lease.
type storeLeaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

// storeLeaseResult is the wire type of a streamed answer.
type storeLeaseResult struct {
	Result storeLeaseMessage `json:"result"`
}

// countLease counts a lease request.
func countLease(c *StoreCalls) { c.Lease++ }

// serveGrant creates a lease.
func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var message storeLeaseMessage
	if !s.admit(w, r, &message, s.writes, countLease) {
		return
	}
	if message.TTL <= 0 {
		storeRefuse(w, http.StatusBadRequest, "etcdserver: lease TTL is too small")
		return
	}
	ttl := time.Duration(message.TTL) * time.Second
	s.mu.Lock()
	id := s.state.nextLease
	s.state.nextLease++
	s.state.leases[id] = storeLease{ttl, platformNow(s.Clock).Add(ttl)}
	s.mu.Unlock()
	platformAnswer(w, http.StatusOK, storeLeaseMessage{id, message.TTL})
}

// serveKeepAlive renews a lease. For an expired lease it answers with a TTL of zero.
func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var message storeLeaseMessage
	if !s.admit(w, r, &message, s.writes, countLease) {
		return
	}
	answer := storeLeaseResult{storeLeaseMessage{ID: message.ID}}
	s.mu.Lock()
	s.expireLocked()
	if lease, ok := s.state.leases[message.ID]; ok {
		lease.end = platformNow(s.Clock).Add(lease.ttl)
		s.state.leases[message.ID] = lease
		answer.Result.TTL = int64(lease.ttl / time.Second)
	}
	s.mu.Unlock()
	platformAnswer(w, http.StatusOK, answer)
}

// serveRevoke ends a lease.
func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var message storeLeaseMessage
	if !s.admit(w, r, &message, s.writes, countLease) {
		return
	}
	s.mu.Lock()
	s.expireLocked()
	_, ok := s.state.leases[message.ID]
	if s.state.endLease(message.ID) {
		s.wakeLocked()
	}
	s.mu.Unlock()
	if !ok {
		storeRefuse(w, http.StatusNotFound, "etcdserver: requested lease not found")
		return
	}
	platformAnswer(w, http.StatusOK, struct{}{})
}

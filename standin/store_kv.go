package standin

import (
	"net/http"
	"slices"
)

// The wire types of keys and transactions follow.
type storeKeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string"`
}

type storeHeader struct {
	Revision int64 `json:"revision,string"`
}

type storeRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type storeRangeAnswer struct {
	Header storeHeader     `json:"header"`
	KVs    []storeKeyValue `json:"kvs,omitempty"`
	Count  int             `json:"count,string"`
}

type storePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type storeCompare struct {
	Target      string `json:"target"`
	Result      string `json:"result"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

type storeOperation struct {
	Put    *storePut   `json:"request_put"`
	Range  *storeRange `json:"request_range"`
	Delete *storeRange `json:"request_delete_range"`
}

type storeTxn struct {
	Compare []storeCompare   `json:"compare"`
	Success []storeOperation `json:"success"`
	Failure []storeOperation `json:"failure"`
}

type storeOperationAnswer struct {
	Put    *struct{}         `json:"response_put,omitempty"`
	Range  *storeRangeAnswer `json:"response_range,omitempty"`
	Delete *struct{}         `json:"response_delete_range,omitempty"`
}

type storeTxnAnswer struct {
	Header    storeHeader            `json:"header"`
	Succeeded bool                   `json:"succeeded,omitempty"`
	Responses []storeOperationAnswer `json:"responses,omitempty"`
}

// serveRange answers a read of one key or of a range.
func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	var message storeRange
	count := func(c *StoreCalls) {
		if len(message.RangeEnd) == 0 {
			c.Get++
			return
		}
		c.List++
	}
	if !s.admit(w, r, &message, s.reads, count) {
		return
	}
	s.mu.Lock()
	s.expireLocked()
	state := &s.state
	if s.stale {
		state = &s.lastSnapshot.state
	}
	answer := state.rangeAnswer(&message)
	s.mu.Unlock()
	platformAnswer(w, http.StatusOK, answer)
}

// rangeAnswer returns the answer to a read of the range.
func (s *storeState) rangeAnswer(m *storeRange) *storeRangeAnswer {
	found := s.find(m.Key, m.RangeEnd)
	return &storeRangeAnswer{storeHeader{s.revision}, found, len(found)}
}

// serveTxn runs a transaction.
func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var message storeTxn
	count := func(c *StoreCalls) {
		if message.deletes() {
			c.Delete++
			return
		}
		c.Swap++
	}
	if !s.admit(w, r, &message, s.writes, count) {
		return
	}
	s.mu.Lock()
	s.expireLocked()
	if status, refusal := s.state.check(&message); refusal != "" {
		s.mu.Unlock()
		storeRefuse(w, status, refusal)
		return
	}
	answer := s.state.txn(&message)
	s.wakeLocked()
	lost := answer.Succeeded && s.answersToLose > 0
	if lost {
		s.answersToLose--
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	platformAnswer(w, http.StatusOK, answer)
}

// deletes reports whether the transaction deletes keys.
func (m *storeTxn) deletes() bool {
	for _, op := range m.Success {
		if op.Delete != nil {
			return true
		}
	}
	return false
}

// check returns the status and message with which a transaction is refused; the
// message is empty if the transaction may run.
func (s *storeState) check(m *storeTxn) (int, string) {
	for _, c := range m.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			return http.StatusNotImplemented, "only MOD EQUAL compares are served"
		}
	}
	for _, op := range slices.Concat(m.Success, m.Failure) {
		if op.Put == nil {
			continue
		}
		if len(op.Put.Value) > storeMaxValueBytes {
			return http.StatusBadRequest, "etcdserver: request is too large"
		}
		if _, ok := s.leases[op.Put.Lease]; op.Put.Lease != 0 && !ok {
			return http.StatusNotFound, "etcdserver: requested lease not found"
		}
	}
	return 0, ""
}

// txn runs the branch that the comparisons select. All its writes get the same revision.
func (s *storeState) txn(m *storeTxn) *storeTxnAnswer {
	answer := &storeTxnAnswer{Succeeded: true}
	for _, c := range m.Compare {
		if s.keys[string(c.Key)].ModRevision != c.ModRevision {
			answer.Succeeded = false
		}
	}
	operations := m.Failure
	if answer.Succeeded {
		operations = m.Success
	}
	next := s.revision + 1
	wrote := false
	for _, op := range operations {
		done := storeOperationAnswer{}
		switch {
		case op.Put != nil:
			s.put(op.Put, next)
			wrote = true
			done.Put = &struct{}{}
		case op.Delete != nil:
			wrote = s.remove(op.Delete.Key, op.Delete.RangeEnd, next) > 0 || wrote
			done.Delete = &struct{}{}
		case op.Range != nil:
			done.Range = s.rangeAnswer(op.Range)
		}
		answer.Responses = append(answer.Responses, done)
	}
	if wrote {
		s.revision = next
	}
	answer.Header.Revision = s.revision
	return answer
}

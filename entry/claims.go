package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/caller"
	"peridotusher.example/peridotusher/store"
)

// busyRetryAfter is told to a caller whose key is being run elsewhere.
const busyRetryAfter = time.Second

// claimRecord is the store's record of one idempotency key.
type claimRecord struct {
	Claim   string      `json:"claim"`
	Content string      `json:"content"` // hash of method, path and body
	Done    bool        `json:"done"`
	Status  int         `json:"status,omitempty"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
}

// callOnce claims the key in the store before it sends the call.
func (s *services) callOnce(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, error) {
	key := s.claimKey(call)
	record := claimRecord{Claim: uuid.NewString(), Content: contentHash(call)}
	revision, existing, err := s.claim(ctx, key, record)
	if err != nil {
		return caller.ServiceAnswer{}, err
	}
	if existing != nil {
		return repeated(*existing, record.Content)
	}
	answer, err := s.callAny(ctx, call, serviceRequest(call, false))
	if err != nil {
		if peridotusher.AsFailure(err).Verdict() == peridotusher.NotRun {
			// A claim that stays blocks the key until it expires; it never runs twice.
			_, _ = s.host.Store.Delete(ctx, key, revision)
		}
		return answer, err
	}
	record.Done = true
	record.Status = answer.Status
	record.Header = answer.Header
	record.Body = answer.Body
	s.recordOutcome(ctx, key, revision, record)
	return answer, nil
}

// claim writes the record if the key has none, and returns the present one otherwise.
func (s *services) claim(ctx context.Context, key string, record claimRecord) (store.Revision, *claimRecord, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, nil, peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseStoreDown, err)
	}
	swap, err := s.host.Store.CompareAndSwap(ctx, key, 0, value, 0)
	if err == nil && swap.Swapped() {
		return swap.Revision(), nil, nil
	}
	entry := swap.Current()
	if err != nil {
		// The answer may have been lost after the write.
		if entry, err = s.host.Store.Get(ctx, key); err != nil || !entry.Exists() {
			return 0, nil, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseStoreDown, "the key could not be claimed").WithRetryAfter(busyRetryAfter)
		}
	}
	var present claimRecord
	if err := json.Unmarshal(entry.Value(), &present); err != nil {
		return 0, nil, peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseStoreDown, err)
	}
	if present.Claim == record.Claim {
		return entry.Revision(), nil, nil
	}
	return 0, &present, nil
}

// recordOutcome keeps the answer for a repeat of the call.
func (s *services) recordOutcome(ctx context.Context, key string, revision store.Revision, record claimRecord) {
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	if _, err := s.host.Store.CompareAndSwap(ctx, key, revision, value, 0); err != nil {
		s.host.Log.WithError(err).Warn("outcome not recorded")
	}
}

func repeated(present claimRecord, content string) (caller.ServiceAnswer, error) {
	if present.Content != content {
		return caller.ServiceAnswer{}, peridotusher.Fail(peridotusher.NotRun, peridotusher.CauseKeyReused, "the Idempotency-Key was used for another call; use a new key")
	}
	if !present.Done {
		return caller.ServiceAnswer{}, peridotusher.Fail(peridotusher.MayHaveRun, peridotusher.CauseKeyBusy, "a call with this Idempotency-Key has begun and has no recorded outcome").WithRetryAfter(busyRetryAfter)
	}
	return caller.ServiceAnswer{Status: present.Status, Header: present.Header, Body: present.Body, Replayed: true}, nil
}

func (s *services) claimKey(call caller.ServiceCall) string {
	sum := sha256.Sum256([]byte(call.Organisation + "\x00" + call.Service.Name() + "\x00" + call.Key))
	return s.host.Prefix + "claims/" + hex.EncodeToString(sum[:])
}

func contentHash(call caller.ServiceCall) string {
	h := sha256.New()
	for _, part := range []string{call.Method, call.Path, call.Query} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(call.Body)
	return hex.EncodeToString(h.Sum(nil))
}

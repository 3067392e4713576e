package peridotusher

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testWindow = time.Hour

var testNow = time.UnixMilli(1_800_000_000_000)

// uuidAt returns a UUID of version 7 with the given timestamp.
func uuidAt(t time.Time) string {
	ms := t.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-000000000001", ms>>16, ms&0xffff)
}

func testClaim(id, content string) Claim {
	return NewClaim(id, content, testNow, testNow.Add(time.Second))
}

func change(action ClaimAction, hash string, claim Claim) ClaimChange {
	return ClaimChange{Action: action, Hash: hash, Claim: claim}
}

func answered(claim Claim, body string) Claim {
	claim.State, claim.Outcome = AnswerOutcome(200, nil, []byte(body), 1<<20)
	return claim
}

func TestClaimKeyTime(t *testing.T) {
	tests := []struct {
		name  string
		key   string
		cause Cause
	}{
		{"opaque", "order-7", ""},
		{"random uuid", "7d444840-9dc0-41d1-b245-5ffdce74fad2", ""},
		{"now", uuidAt(testNow), ""},
		{"at the window's end", uuidAt(testNow.Add(-testWindow)), ""},
		{"beyond the window", uuidAt(testNow.Add(-testWindow - time.Millisecond)), CauseKeyExpired},
		{"in the future", uuidAt(testNow.Add(2 * maxClaimKeySkew)), CauseBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var cause Cause
			if f := NewClaimKey("org", "service", tt.key).CheckIssueTime(testNow, testWindow); f != nil {
				cause = f.Cause()
			}
			if diff := cmp.Diff(tt.cause, cause); diff != "" {
				t.Errorf("cause (-want +got):\n%s", diff)
			}
		})
	}
}

func TestKeysOfOrganisationsDiffer(t *testing.T) {
	a, b := NewClaimKey("a", "s", "k"), NewClaimKey("b", "s", "k")
	if a.Hash() == b.Hash() {
		t.Errorf("both keys have the hash %s", a.Hash())
	}
}

func TestClaimBucketApply(t *testing.T) {
	first, second := testClaim("1", "content"), testClaim("2", "content")
	tests := []struct {
		name    string
		changes []ClaimChange
		want    []bool // Done of each change
		changed bool
		state   ClaimState // of the key afterwards
	}{
		{"claim", []ClaimChange{change(ActionClaim, "k", first)}, []bool{true}, true, ClaimHeld},
		{"same claim again", []ClaimChange{change(ActionClaim, "k", first), change(ActionClaim, "k", first)}, []bool{true, true}, true, ClaimHeld},
		{"second claim", []ClaimChange{change(ActionClaim, "k", first), change(ActionClaim, "k", second)}, []bool{true, false}, true, ClaimHeld},
		{"release of another's claim", []ClaimChange{change(ActionClaim, "k", first), change(ActionRelease, "k", second)}, []bool{true, false}, true, ClaimHeld},
		{"release and claim", []ClaimChange{change(ActionClaim, "k", first), change(ActionRelease, "k", first), change(ActionClaim, "k", second)}, []bool{true, true, true}, true, ClaimHeld},
		{"outcome", []ClaimChange{change(ActionClaim, "k", first), change(ActionRecord, "k", answered(first, "ok"))}, []bool{true, true}, true, ClaimAnswered},
		{"outcome stays", []ClaimChange{change(ActionClaim, "k", first), change(ActionRecord, "k", answered(first, "ok")), change(ActionRelease, "k", first)}, []bool{true, true, false}, true, ClaimAnswered},
		{"outcome of another's claim", []ClaimChange{change(ActionClaim, "k", first), change(ActionRecord, "k", answered(second, "ok"))}, []bool{true, false}, true, ClaimHeld},
		{"release of nothing", []ClaimChange{change(ActionRelease, "k", first)}, []bool{true}, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, results, changed := ClaimBucket{}.Apply(tt.changes, testNow, testWindow)
			var done []bool
			for _, r := range results {
				done = append(done, r.Done)
			}
			if diff := cmp.Diff(tt.want, done); diff != "" {
				t.Errorf("done (-want +got):\n%s", diff)
			}
			if changed != tt.changed {
				t.Errorf("changed = %v, want %v", changed, tt.changed)
			}
			got, _ := next.Get("k")
			if diff := cmp.Diff(tt.state, got.State); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
		})
	}
}

func TestClaimRepeat(t *testing.T) {
	held := testClaim("1", "content")
	unknown := held
	unknown.State = ClaimUnknown
	ran := held
	ran.State = ClaimRan
	late := testNow.Add(time.Minute)
	tests := []struct {
		name    string
		claim   Claim
		content string
		now     time.Time
		want    string
	}{
		{"held", held, "content", testNow, "may-have-run idempotency_key_in_progress 1s"},
		{"holder vanished", held, "content", late, "may-have-run outcome_unknown 0s"},
		{"unknown", unknown, "content", testNow, "may-have-run outcome_unknown 0s"},
		{"ran", ran, "content", testNow, "ran outcome_not_recorded 0s"},
		{"another body", held, "other", testNow, "not-run idempotency_key_reused 0s"},
		{"answered", answered(held, "ok"), "content", late, "ok"},
		{"answered, another body", answered(held, "ok"), "other", late, "not-run idempotency_key_reused 0s"},
		{"forgotten", Claim{ID: "1", State: ClaimExpired}, "content", late, "may-have-run idempotency_key_expired 0s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			outcome, f := tt.claim.Repeat(tt.content, tt.now)
			got := ""
			if f != nil {
				got = fmt.Sprintf("%s %s %s", f.Verdict(), f.Cause(), f.RetryAfter())
			} else {
				got = string(outcome.Body)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("repeat (-want +got):\n%s", diff)
			}
		})
	}
}

func TestClaimBucketIsBounded(t *testing.T) {
	var b ClaimBucket
	body := make([]byte, 4<<10)
	for i := range maxBucketBytes / maxClaimBytes * 2 {
		hash := NewClaimKey("org", "service", fmt.Sprint(i)).Hash()
		claim := testClaim(fmt.Sprintf("7d444840-9dc0-41d1-b245-%012d", i), hash+hash)
		done := answered(claim, string(body))
		b, _, _ = b.Apply([]ClaimChange{change(ActionClaim, hash, claim), change(ActionRecord, hash, done)}, testNow, testWindow)
	}
	stored, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(stored) > maxBucketBytes {
		t.Errorf("bucket has %d bytes, want at most %d", len(stored), maxBucketBytes)
	}
	_, results, _ := b.Apply([]ClaimChange{change(ActionClaim, "late", testClaim("late", ""))}, testNow, testWindow)
	if diff := cmp.Diff([]ClaimResult{{Full: true}}, results); diff != "" {
		t.Errorf("claim in a full bucket (-want +got):\n%s", diff)
	}
}

func TestClaimOutcomeExpires(t *testing.T) {
	first := testClaim("1", "content")
	b, _, _ := ClaimBucket{}.Apply([]ClaimChange{change(ActionClaim, "k", first), change(ActionRecord, "k", answered(first, "ok"))}, testNow, testWindow)
	b, _, _ = b.Apply([]ClaimChange{change(ActionClaim, "other", testClaim("2", ""))}, testNow.Add(testWindow+time.Second), testWindow)
	_, results, _ := b.Apply([]ClaimChange{change(ActionClaim, "k", testClaim("3", "content"))}, testNow.Add(testWindow+time.Second), testWindow)
	want := ClaimResult{Present: Claim{ID: "1", State: ClaimExpired, Made: first.Made}}
	if diff := cmp.Diff([]ClaimResult{want}, results); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
}

func FuzzDecodeClaimBucket(f *testing.F) {
	first := testClaim("1", "content")
	b, _, _ := ClaimBucket{}.Apply([]ClaimChange{change(ActionClaim, "k", first), change(ActionRecord, "k", answered(first, "ok"))}, testNow, testWindow)
	stored, err := b.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(stored)
	f.Add([]byte(`{"format":2}`))
	f.Fuzz(func(t *testing.T, stored []byte) {
		b, err := DecodeClaimBucket(stored)
		if err != nil {
			return
		}
		again, err := b.Encode()
		if err != nil {
			t.Fatal(err)
		}
		c, err := DecodeClaimBucket(again)
		if err != nil {
			t.Fatalf("%s: %v", again, err)
		}
		if diff := cmp.Diff(b.Len(), c.Len()); diff != "" {
			t.Errorf("claims after encoding (-want +got):\n%s", diff)
		}
		b.Apply([]ClaimChange{change(ActionClaim, "k", first)}, testNow, testWindow)
	})
}

package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/pause"
	"peridotusher.example/peridotusher/store"
)

// Limits of the retries of an edit.
const (
	retryBase = 10 * time.Millisecond
	retryMax  = 2 * time.Second
	// maxAttempts is the number of attempts after which an edit fails, for example
	// because others changed the document during each of them.
	maxAttempts = 64
)

var (
	errContended  = errors.New("the document changed again in each attempt")
	errUnresolved = errors.New("the answer was lost and the change log has gone on; the edit may have been accepted")
	errNoHead     = errors.New("the store holds no document")
)

// EditStore is what an Editor needs of the platform's key-value service.
type EditStore interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error)
	CompareAndSwapMany(ctx context.Context, compares []store.Compare, puts []store.Put) (store.Swap, error)
	Delete(ctx context.Context, key string, expect store.Revision) (store.Swap, error)
}

// Editor reads and edits the document in the store. Its fields are set before
// its first use; it is not safe for concurrent use.
type Editor struct {
	Store  EditStore
	Prefix string // prefix of the store's keys
	Clock  peridotusher.Clock

	lastRead *Snapshot // result of the latest read, so that the next one parses only what changed
}

// Accepted describes an accepted edit and the revision that it made.
type Accepted struct {
	Revision uint64   `json:"revision"`
	Change   string   `json:"change"`
	Headers  []string `json:"sections"` // sections that changed; none if all texts were in the document already
}

// base is the state that an attempt to edit starts from.
type base struct {
	snapshot *Snapshot // nil if there is no document
	raw      *raw
}

// Load reads the document from the store.
func (e *Editor) Load(ctx context.Context) (*Snapshot, error) {
	b, err := e.load(ctx)
	if err != nil {
		return nil, err
	}
	if b.snapshot == nil {
		return nil, errNoHead
	}
	return b.snapshot, nil
}

func (e *Editor) load(ctx context.Context) (base, error) {
	content, _, err := readRaw(ctx, e.Store, e.Prefix)
	if err != nil {
		return base{}, err
	}
	head, err := content.decodeHead()
	if err != nil || head.GetRevision() == 0 {
		return base{raw: content}, err
	}
	sections, err := content.decodeSections(head)
	if err != nil {
		return base{}, err
	}
	next, problems, err := e.lastRead.next(head, e.lastRead.differenceTo(sections))
	if err != nil {
		return base{}, err
	}
	if len(problems) > 0 {
		return base{}, &InvalidError{problems: problems}
	}
	e.lastRead = next
	return base{next, content}, nil
}

// Apply makes all edits of one team in a single revision, or none of them. It
// retries if others change other sections meanwhile, and returns a
// *ConflictError if one of its own sections has changed.
func (e *Editor) Apply(ctx context.Context, creds Credentials, edits []Edit) (Accepted, error) {
	return e.retry(ctx, func(b base, change string) (*proposal, error) {
		if b.snapshot == nil {
			return nil, errNoHead
		}
		if err := b.snapshot.authorise(creds, edits); err != nil {
			return nil, err
		}
		head := e.nextHead(b.snapshot.head, creds.Team, change)
		d, err := b.snapshot.plan(creds.Team, edits, head.GetRevision())
		if err != nil || d.count() == 0 {
			return nil, err
		}
		return propose(b, head, d)
	})
}

// planFunc returns the proposal of an edit on a state, or nil if the edit
// changes nothing.
type planFunc func(b base, change string) (*proposal, error)

// retry attempts an edit until it is accepted or refused, or maxAttempts is reached.
func (e *Editor) retry(ctx context.Context, plan planFunc) (Accepted, error) {
	change := uuid.NewString()
	backoff := pause.Backoff{Base: retryBase, Max: retryMax}
	lastErr := errContended
	var unconfirmed *proposal
	for attempt := range maxAttempts {
		p, done, err := e.attempt(ctx, unconfirmed, change, plan)
		switch {
		case done:
			return p.accepted(), err
		case isStoreFailure(err):
			lastErr = err
		case err != nil:
			return Accepted{}, err
		}
		if p != nil && err != nil {
			unconfirmed = p
		}
		if err := backoff.Wait(ctx, attempt); err != nil {
			return Accepted{}, unconfirmed.withUnknownOutcome(errors.CombineErrors(lastErr, err))
		}
	}
	return Accepted{}, unconfirmed.withUnknownOutcome(lastErr)
}

// attempt tries an edit once and reports whether it was accepted. unconfirmed
// is the proposal of an earlier attempt whose answer was lost, or nil. The
// proposal is also returned if the store's answer was lost.
func (e *Editor) attempt(ctx context.Context, unconfirmed *proposal, change string, plan planFunc) (*proposal, bool, error) {
	b, err := e.load(ctx)
	if err != nil {
		return nil, false, err
	}
	wasAccepted, err := e.resolveLost(ctx, b, unconfirmed)
	if err != nil || wasAccepted {
		return unconfirmed, wasAccepted, err
	}
	p, err := plan(b, change)
	if err != nil {
		return nil, false, err
	}
	if p == nil {
		return &proposal{head: &Head{Revision: b.snapshot.Revision()}}, true, nil
	}
	accepted, err := e.commit(ctx, b, p)
	if accepted {
		e.deleteOldGenerations(ctx, b, p)
	}
	return p, accepted, err
}

// isStoreFailure reports whether the call to the store failed, so that its
// outcome may be unknown.
func isStoreFailure(err error) bool {
	var failure *peridotusher.Failure
	return errors.As(err, &failure)
}

// withUnknownOutcome adds to an error that the proposal may have been accepted.
func (p *proposal) withUnknownOutcome(err error) error {
	if p == nil {
		return err
	}
	return errors.Wrap(err, "the edit may have been accepted")
}

// resolveLost reports, from the change log, whether a proposal was accepted
// although the store's answer was lost. All attempts of an edit share a change
// id, and the compare-and-swap of the head accepts at most one of them.
func (e *Editor) resolveLost(ctx context.Context, b base, unconfirmed *proposal) (bool, error) {
	if unconfirmed == nil || b.snapshot.Revision() < unconfirmed.head.GetRevision() {
		return false, nil
	}
	entry, err := e.Store.Get(ctx, e.Prefix+changeKey(unconfirmed.head.GetRevision()))
	if err != nil {
		return false, err
	}
	change := &Change{}
	if err := proto.Unmarshal(entry.Value(), change); err != nil {
		return false, err
	}
	if change.GetRevision() != unconfirmed.head.GetRevision() {
		return false, errUnresolved
	}
	return change.GetChange() == unconfirmed.head.GetChange(), nil
}

// accepted describes the proposal as an accepted edit.
func (p *proposal) accepted() Accepted {
	return Accepted{Revision: p.head.GetRevision(), Change: p.head.GetChange(), Headers: p.difference.headers()}
}

// nextHead returns the head of the revision after old, which may be nil.
func (e *Editor) nextHead(old *Head, team, change string) *Head {
	return &Head{
		Revision:   old.GetRevision() + 1,
		Hash:       old.GetHash(),
		Generation: old.GetGeneration(),
		Change:     change,
		Team:       team,
		Time:       e.Clock.Now().Unix(),
		Operator:   old.GetOperator(),
	}
}

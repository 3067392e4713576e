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

// The waits between the attempts of an edit.
const (
	retryBase = 10 * time.Millisecond
	retryMax  = 2 * time.Second
	// maxAttempts bounds the races that an edit loses before it gives up.
	maxAttempts = 64
)

var (
	errContended = errors.New("the document changed again in each attempt")
	errUnsettled = errors.New("the answer was lost and the change log has gone on; the edit may have been accepted")
	errNoHead    = errors.New("the store holds no document")
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

	last *Snapshot // what was read last, so that only changes are parsed
}

// Accepted is an edit that is the document's state of its revision.
type Accepted struct {
	Revision uint64   `json:"revision"`
	Change   string   `json:"change"`
	Headers  []string `json:"sections"` // sections that changed; none if the texts stood already
}

// base is the state that an attempt starts from.
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
	head, err := content.headMessage()
	if err != nil || head.GetRevision() == 0 {
		return base{raw: content}, err
	}
	sections, err := content.decode(head)
	if err != nil {
		return base{}, err
	}
	next, problems, err := e.last.advance(head, e.last.compare(sections))
	if err != nil {
		return base{}, err
	}
	if len(problems) > 0 {
		return base{}, &InvalidError{problems: problems}
	}
	e.last = next
	return base{next, content}, nil
}

// Apply makes the edits of one team together. It retries while others edit
// other sections, and returns a *ConflictError if one of the sections changed.
func (e *Editor) Apply(ctx context.Context, who Credentials, edits []Edit) (Accepted, error) {
	return e.retry(ctx, func(b base, change string) (*proposal, error) {
		if b.snapshot == nil {
			return nil, errNoHead
		}
		if err := b.snapshot.authorise(who, edits); err != nil {
			return nil, err
		}
		head := e.nextHead(b.snapshot.head, who.Team, change)
		d, err := b.snapshot.plan(who.Team, edits, head.GetRevision())
		if err != nil || d.count() == 0 {
			return nil, err
		}
		return propose(b, head, d)
	})
}

// planFunc returns what an edit makes of a state, or nothing if it stands already.
type planFunc func(b base, change string) (*proposal, error)

// retry attempts an edit until it is accepted, refused or cannot win.
func (e *Editor) retry(ctx context.Context, plan planFunc) (Accepted, error) {
	change := uuid.NewString()
	backoff := pause.Backoff{Base: retryBase, Max: retryMax}
	last := errContended
	var lost *proposal
	for attempt := range maxAttempts {
		p, done, err := e.attempt(ctx, lost, change, plan)
		switch {
		case done:
			return p.accepted(), err
		case isStoreFailure(err):
			last = err
		case err != nil:
			return Accepted{}, err
		}
		if p != nil && err != nil {
			lost = p
		}
		if err := backoff.Wait(ctx, attempt); err != nil {
			return Accepted{}, lost.unknown(errors.CombineErrors(last, err))
		}
	}
	return Accepted{}, lost.unknown(last)
}

// attempt tries once to have an edit accepted, and reports whether it was. It
// returns the proposal also if its fate is unknown.
func (e *Editor) attempt(ctx context.Context, lost *proposal, change string, plan planFunc) (*proposal, bool, error) {
	b, err := e.load(ctx)
	if err != nil {
		return nil, false, err
	}
	settled, err := e.settle(ctx, b, lost)
	if err != nil || settled {
		return lost, settled, err
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
		e.collect(ctx, b, p)
	}
	return p, accepted, err
}

// isStoreFailure reports whether the store gave no answer that settles the call.
func isStoreFailure(err error) bool {
	var failure *peridotusher.Failure
	return errors.As(err, &failure)
}

// unknown adds to an error that the proposal may have been accepted.
func (p *proposal) unknown(err error) error {
	if p == nil {
		return err
	}
	return errors.Wrap(err, "the edit may have been accepted")
}

// settle finds out whether a proposal whose answer was lost was accepted. All
// attempts of an edit have one change id, so only one of them can be.
func (e *Editor) settle(ctx context.Context, b base, lost *proposal) (bool, error) {
	if lost == nil || b.snapshot.Revision() < lost.head.GetRevision() {
		return false, nil
	}
	entry, err := e.Store.Get(ctx, e.Prefix+changeKey(lost.head.GetRevision()))
	if err != nil {
		return false, err
	}
	change := &Change{}
	if err := proto.Unmarshal(entry.Value(), change); err != nil {
		return false, err
	}
	if change.GetRevision() != lost.head.GetRevision() {
		return false, errUnsettled
	}
	return change.GetChange() == lost.head.GetChange(), nil
}

// accepted returns the proposal as an accepted edit.
func (p *proposal) accepted() Accepted {
	return Accepted{Revision: p.head.GetRevision(), Change: p.head.GetChange(), Headers: p.difference.headers()}
}

// nextHead returns the head of the state after old, which may be nil.
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

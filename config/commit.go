package config

import (
	"context"
	"maps"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher/store"
)

const (
	// maxBatchBytes bounds the size of the pages written in one transaction.
	maxBatchBytes = 512 << 10
	// maxLogHeaders bounds the number of headers in one entry of the change log.
	maxLogHeaders = 20
)

// proposal is a new state of the document with the writes that store it. It is
// accepted when a compare-and-swap writes its head.
type proposal struct {
	head       *Head
	difference difference
	pages      []store.Put // keys without the prefix, sorted
	staged     bool        // the pages belong to a new generation
}

// propose checks the complete document after the difference and returns the
// writes that store it.
func propose(b base, head *Head, d difference) (*proposal, error) {
	head.Hash = b.snapshot.hashAfter(d)
	next, problems, err := b.snapshot.next(head, d)
	if err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return nil, &InvalidError{problems: problems}
	}
	p := &proposal{head: head, difference: d}
	changedPages := map[uint64]bool{}
	for _, header := range d.headers() {
		changedPages[pageNumber(header)] = true
	}
	p.pages, err = next.pagePuts(changedPages)
	if err != nil || totalBytes(p.pages) <= maxBatchBytes {
		return p, err
	}
	return p, p.moveToNewGeneration(next)
}

// moveToNewGeneration replaces the proposal's pages by all pages, under the keys
// of a new generation, so that several transactions can write them before the
// head refers to them.
func (p *proposal) moveToNewGeneration(next *Snapshot) error {
	p.head.Generation = uuid.NewString()
	p.staged = true
	all := map[uint64]bool{}
	for page := range uint64(pageCount) {
		all[page] = true
	}
	var err error
	p.pages, err = next.pagePuts(all)
	return err
}

// hashAfter returns the hash of all sections after the difference.
func (s *Snapshot) hashAfter(d difference) uint64 {
	var hash uint64
	if s != nil {
		hash = s.head.GetHash()
	}
	for _, header := range d.headers() {
		if old := s.section(header); old != nil {
			hash -= sectionHash(old)
		}
	}
	for _, c := range d.changed {
		hash += sectionHash(c)
	}
	return hash
}

// pagePuts returns the writes of the given pages with their current sections.
func (s *Snapshot) pagePuts(numbers map[uint64]bool) ([]store.Put, error) {
	content := map[uint64]*Page{}
	for page := range numbers {
		content[page] = &Page{}
	}
	for _, section := range s.sorted() {
		if page, ok := content[pageNumber(section.GetHeader())]; ok {
			page.Sections = append(page.Sections, section)
		}
	}
	var puts []store.Put
	for _, page := range slices.Sorted(maps.Keys(content)) {
		value, err := proto.Marshal(content[page])
		if err != nil {
			return nil, err
		}
		puts = append(puts, store.Put{Key: pageKey(s.head.GetGeneration(), page), Value: value})
	}
	return puts, nil
}

func totalBytes(puts []store.Put) int {
	total := 0
	for _, p := range puts {
		total += len(p.Value)
	}
	return total
}

// commit writes the proposal and reports whether it was accepted. The head is
// the last write of its transaction: watchers read the state when they see the
// head change.
func (e *Editor) commit(ctx context.Context, b base, p *proposal) (bool, error) {
	compares := []store.Compare{{Key: e.Prefix + headKey, Revision: b.raw.head.Revision()}}
	puts := e.prefixed(p.pages)
	if p.staged {
		written, err := e.writeStaged(ctx, puts)
		if err != nil {
			return false, err
		}
		compares = append(compares, written...)
		puts = nil
	}
	final, err := p.logAndHeadPuts(e.Prefix)
	if err != nil {
		return false, err
	}
	swap, err := e.Store.CompareAndSwapMany(ctx, compares, append(puts, final...))
	return swap.Swapped(), err
}

// prefixed returns the writes with the store's prefix added to their keys.
func (e *Editor) prefixed(puts []store.Put) []store.Put {
	full := slices.Clone(puts)
	for i := range full {
		full[i].Key = e.Prefix + full[i].Key
	}
	return full
}

// logAndHeadPuts returns the writes of the change log's entry and of the head.
func (p *proposal) logAndHeadPuts(prefix string) ([]store.Put, error) {
	headers := p.difference.headers()
	entry, err := proto.Marshal(&Change{
		Revision: p.head.GetRevision(),
		Change:   p.head.GetChange(),
		Team:     p.head.GetTeam(),
		Time:     p.head.GetTime(),
		Headers:  headers[:min(len(headers), maxLogHeaders)],
		Count:    uint32(len(headers)),
	})
	if err != nil {
		return nil, err
	}
	head, err := proto.Marshal(p.head)
	if err != nil {
		return nil, err
	}
	return []store.Put{
		{Key: prefix + changeKey(p.head.GetRevision()), Value: entry},
		{Key: prefix + headKey, Value: head},
	}, nil
}

// writeStaged writes the pages of a new generation and returns the conditions
// that hold as long as nobody else has written these pages.
func (e *Editor) writeStaged(ctx context.Context, puts []store.Put) ([]store.Compare, error) {
	var compares []store.Compare
	for len(puts) > 0 {
		n := batchLen(puts)
		swap, err := e.Store.CompareAndSwapMany(ctx, nil, puts[:n])
		if err != nil {
			return nil, err
		}
		for _, p := range puts[:n] {
			compares = append(compares, store.Compare{Key: p.Key, Revision: swap.Revision()})
		}
		puts = puts[n:]
	}
	return compares, nil
}

// batchLen returns how many of the writes fit into one transaction, at least one.
func batchLen(puts []store.Put) int {
	total := 0
	for i, p := range puts {
		total += len(p.Value)
		if i > 0 && total > maxBatchBytes {
			return i
		}
	}
	return len(puts)
}

// deleteOldGenerations deletes the pages of other generations after a staged
// proposal was accepted. It stops at the first error; the next accepted staged
// proposal deletes the pages that remain.
func (e *Editor) deleteOldGenerations(ctx context.Context, b base, p *proposal) {
	if !p.staged {
		return
	}
	for key, entry := range b.raw.entries {
		if inGeneration(key, p.head.GetGeneration()) {
			continue
		}
		if _, err := e.Store.Delete(ctx, e.Prefix+key, entry.Revision()); err != nil {
			return
		}
	}
}

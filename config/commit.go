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
	// maxBatchBytes bounds the pages of one transaction.
	maxBatchBytes = 512 << 10
	// maxLogHeaders bounds the headers of one entry of the change log.
	maxLogHeaders = 20
)

// proposal is a state that one compare-and-swap of the head may accept.
type proposal struct {
	head       *Head
	difference difference
	pages      []store.Put // without the prefix, in the order of the keys
	staged     bool        // the pages are of a new generation
}

// propose checks the whole document and returns the writes that make it.
func propose(b base, head *Head, d difference) (*proposal, error) {
	head.Hash = b.snapshot.hashAfter(d)
	next, problems, err := b.snapshot.advance(head, d)
	if err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return nil, &InvalidError{problems: problems}
	}
	p := &proposal{head: head, difference: d}
	touched := map[uint64]bool{}
	for _, header := range d.headers() {
		touched[pageOf(header)] = true
	}
	p.pages, err = next.pages(touched)
	if err != nil || size(p.pages) <= maxBatchBytes {
		return p, err
	}
	return p, p.stage(next)
}

// stage moves all pages to a new generation, so that they can be written in
// several transactions before the head names them.
func (p *proposal) stage(next *Snapshot) error {
	p.head.Generation = uuid.NewString()
	p.staged = true
	all := map[uint64]bool{}
	for page := range uint64(pageCount) {
		all[page] = true
	}
	var err error
	p.pages, err = next.pages(all)
	return err
}

// hashAfter returns the hash of the state after the difference.
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

// pages returns the writes of the touched pages.
func (s *Snapshot) pages(touched map[uint64]bool) ([]store.Put, error) {
	content := map[uint64]*Page{}
	for page := range touched {
		content[page] = &Page{}
	}
	for _, section := range s.sorted() {
		if page, ok := content[pageOf(section.GetHeader())]; ok {
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

func size(puts []store.Put) int {
	total := 0
	for _, p := range puts {
		total += len(p.Value)
	}
	return total
}

// commit writes the proposal and reports whether it was accepted. The head is
// the last write of its transaction.
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
	last, err := p.closing(e.Prefix)
	if err != nil {
		return false, err
	}
	swap, err := e.Store.CompareAndSwapMany(ctx, compares, append(puts, last...))
	return swap.Swapped(), err
}

// prefixed returns the writes with the prefix before their keys.
func (e *Editor) prefixed(puts []store.Put) []store.Put {
	full := slices.Clone(puts)
	for i := range full {
		full[i].Key = e.Prefix + full[i].Key
	}
	return full
}

// closing returns the writes of the log entry and the head.
func (p *proposal) closing(prefix string) ([]store.Put, error) {
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
// under which they still stand.
func (e *Editor) writeStaged(ctx context.Context, puts []store.Put) ([]store.Compare, error) {
	var compares []store.Compare
	for len(puts) > 0 {
		n := batch(puts)
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

// batch returns how many of the writes fit one transaction, at least one.
func batch(puts []store.Put) int {
	total := 0
	for i, p := range puts {
		total += len(p.Value)
		if i > 0 && total > maxBatchBytes {
			return i
		}
	}
	return len(puts)
}

// collect deletes the pages of other generations after one took their place.
// What cannot be deleted now is left to the next replacement.
func (e *Editor) collect(ctx context.Context, b base, p *proposal) {
	if !p.staged {
		return
	}
	for key, entry := range b.raw.entries {
		if ofGeneration(key, p.head.GetGeneration()) {
			continue
		}
		if _, err := e.Store.Delete(ctx, e.Prefix+key, entry.Revision()); err != nil {
			return
		}
	}
}

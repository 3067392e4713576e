package config

import (
	"context"
	"strings"

	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher/store"
)

// raw is a copy of the store's keys of the document.
type raw struct {
	head    store.Entry
	entries map[string]store.Entry // below the prefix, without the head
	decoded map[string]*Page       // the entries that were decoded
}

// reader is what reading the document needs of the store.
type reader interface {
	List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error)
}

// readRaw reads all keys of the document in one call.
func readRaw(ctx context.Context, r reader, prefix string) (*raw, store.Revision, error) {
	entries, revision, err := r.List(ctx, prefix+stateKeys)
	if err != nil {
		return nil, 0, err
	}
	content := &raw{entries: make(map[string]store.Entry, len(entries)), decoded: map[string]*Page{}}
	for _, e := range entries {
		content.put(strings.TrimPrefix(e.Key(), prefix), e)
	}
	return content, revision, nil
}

// put stores a key that was read or changed.
func (r *raw) put(key string, e store.Entry) {
	if key == headKey {
		r.head = e
		return
	}
	r.entries[key] = e
	delete(r.decoded, key)
}

// remove takes a key out that was deleted.
func (r *raw) remove(key string) {
	delete(r.entries, key)
	delete(r.decoded, key)
}

// page returns the decoded page of a key.
func (r *raw) page(key string) (*Page, error) {
	if page, ok := r.decoded[key]; ok {
		return page, nil
	}
	page := &Page{}
	if err := proto.Unmarshal(r.entries[key].Value(), page); err != nil {
		return nil, err
	}
	r.decoded[key] = page
	return page, nil
}

// headMessage decodes the head; its revision is zero if there is none.
func (r *raw) headMessage() (*Head, error) {
	head := &Head{}
	err := proto.Unmarshal(r.head.Value(), head)
	return head, err
}

// decode returns the sections of the head's generation.
func (r *raw) decode(head *Head) (map[string]*Section, error) {
	sections := map[string]*Section{}
	for key := range r.entries {
		if !ofGeneration(key, head.GetGeneration()) {
			continue
		}
		page, err := r.page(key)
		if err != nil {
			return nil, err
		}
		for _, s := range page.GetSections() {
			sections[s.GetHeader()] = s
		}
	}
	return sections, nil
}

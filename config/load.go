package config

import (
	"context"
	"strings"

	"google.golang.org/protobuf/proto"

	"peridotusher.example/peridotusher/store"
)

// raw holds the document's keys as they were read from the store.
type raw struct {
	head    store.Entry
	entries map[string]store.Entry // by key without the prefix; the head is not among them
	decoded map[string]*Page       // cache of decoded pages, by the same keys
}

// lister is the method of the store that reading the document needs.
type lister interface {
	List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error)
}

// readRaw reads all keys of the document in one call.
func readRaw(ctx context.Context, r lister, prefix string) (*raw, store.Revision, error) {
	entries, revision, err := r.List(ctx, prefix+statePrefix)
	if err != nil {
		return nil, 0, err
	}
	content := &raw{entries: make(map[string]store.Entry, len(entries)), decoded: map[string]*Page{}}
	for _, e := range entries {
		content.put(strings.TrimPrefix(e.Key(), prefix), e)
	}
	return content, revision, nil
}

// put records a key's value that was read or received from a watch.
func (r *raw) put(key string, e store.Entry) {
	if key == headKey {
		r.head = e
		return
	}
	r.entries[key] = e
	delete(r.decoded, key)
}

// remove drops a key that was deleted in the store.
func (r *raw) remove(key string) {
	delete(r.entries, key)
	delete(r.decoded, key)
}

// page returns the decoded page that is stored under a key.
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

// decodeHead decodes the head; its revision is zero if there is none.
func (r *raw) decodeHead() (*Head, error) {
	head := &Head{}
	err := proto.Unmarshal(r.head.Value(), head)
	return head, err
}

// decodeSections returns the sections of the head's generation.
func (r *raw) decodeSections(head *Head) (map[string]*Section, error) {
	sections := map[string]*Section{}
	for key := range r.entries {
		if !inGeneration(key, head.GetGeneration()) {
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

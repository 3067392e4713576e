package config

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Keys and key prefixes in the store, relative to the configured prefix.
const (
	statePrefix  = "config/"
	headKey      = "config/head"
	pagePrefix   = "config/page/"
	changePrefix = "changes/"
)

const (
	// pageCount is the number of pages over which the sections are distributed.
	pageCount = 64
	// maxLogEntries is the number of edits that the change log keeps.
	maxLogEntries = 256
)

// pageKey returns the key of a page.
func pageKey(generation string, page uint64) string {
	return fmt.Sprintf("%s%s/%02d", pagePrefix, generation, page)
}

// inGeneration reports whether a key without the prefix is a page of the generation.
func inGeneration(key, generation string) bool {
	return strings.HasPrefix(key, pagePrefix+generation+"/")
}

// pageNumber returns the number of the page that holds the section.
func pageNumber(header string) uint64 { return xxhash.Sum64String(header) % pageCount }

// changeKey returns the key of a revision's entry in the change log. It
// overwrites the entry that is maxLogEntries revisions older.
func changeKey(revision uint64) string {
	return fmt.Sprintf("%s%03d", changePrefix, revision%maxLogEntries)
}

// sectionHash returns a section's hash; the head's hash is the sum of these.
func sectionHash(s *Section) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %d %q %d %q", s.GetHeader(), s.GetVersion(), s.GetTeam(), s.GetPosition(), s.GetText()))
}

package config

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The layout of the store below the prefix.
const (
	stateKeys  = "config/"
	headKey    = "config/head"
	pageKeys   = "config/page/"
	changeKeys = "changes/"
)

const (
	// pageCount is the number of pages that the sections are spread over.
	pageCount = 64
	// logEntries is the number of edits that the change log remembers.
	logEntries = 256
)

// pageKey returns the key of a page.
func pageKey(generation string, page uint64) string {
	return fmt.Sprintf("%s%s/%02d", pageKeys, generation, page)
}

// ofGeneration reports whether a key below the prefix is a page of the generation.
func ofGeneration(key, generation string) bool {
	return strings.HasPrefix(key, pageKeys+generation+"/")
}

// pageOf returns the number of the page that holds the section.
func pageOf(header string) uint64 { return xxhash.Sum64String(header) % pageCount }

// changeKey returns the key of the log entry of a revision. A later entry
// takes the place of one that is logEntries older.
func changeKey(revision uint64) string {
	return fmt.Sprintf("%s%03d", changeKeys, revision%logEntries)
}

// sectionHash returns a section's part of the head's hash.
func sectionHash(s *Section) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %d %q %d %q", s.GetHeader(), s.GetVersion(), s.GetTeam(), s.GetPosition(), s.GetText()))
}

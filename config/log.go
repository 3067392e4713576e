package config

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// LogEntry is one accepted edit.
type LogEntry struct {
	Revision uint64    `json:"revision"`
	Change   string    `json:"change"`
	Team     string    `json:"team"`
	Time     time.Time `json:"time"`
	Headers  []string  `json:"sections"` // the first of the changed sections
	Count    int       `json:"count"`    // number of changed sections
}

// Log returns the accepted edits that the change log still holds, latest first.
func (e *Editor) Log(ctx context.Context) ([]LogEntry, error) {
	entries, _, err := e.Store.List(ctx, e.Prefix+changePrefix)
	if err != nil {
		return nil, err
	}
	var log []LogEntry
	for _, stored := range entries {
		change := &Change{}
		if err := proto.Unmarshal(stored.Value(), change); err != nil {
			return nil, err
		}
		log = append(log, logEntry(change))
	}
	slices.SortFunc(log, func(a, b LogEntry) int { return cmp.Compare(b.Revision, a.Revision) })
	return log, nil
}

func logEntry(c *Change) LogEntry {
	return LogEntry{
		Revision: c.GetRevision(),
		Change:   c.GetChange(),
		Team:     c.GetTeam(),
		Time:     time.Unix(c.GetTime(), 0).UTC(),
		Headers:  c.GetHeaders(),
		Count:    int(c.GetCount()),
	}
}

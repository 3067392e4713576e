package quarantine

import (
	"strconv"
	"strings"
	"time"
)

// Update is what routers tell each other.
type Update struct {
	Crashes []Crash
	Sound   []Sound
}

// Crash is the end of a replica that had requests.
type Crash struct {
	// Replica is the hash of the replica and of its start.
	Replica uint32
	// Age is the time since the crash.
	Age      time.Duration
	Suspects []Suspect
}

// Suspect is a request that had received nothing of its answer when its replica crashed.
type Suspect struct {
	// Age is the time since the request was sent.
	Age time.Duration
	// Parts are the parts of the prompt that other requests may share.
	Parts []uint64
}

// Sound states that a replica began to answer a request with a part.
type Sound struct {
	Part uint64
	// Age is the time since then.
	Age time.Duration
}

// IsEmpty reports whether the update contains nothing.
func (u Update) IsEmpty() bool { return len(u.Crashes) == 0 && len(u.Sound) == 0 }

// FormatParts formats the ids of parts for logs, in hexadecimal and separated by commas.
func FormatParts(parts []uint64) string {
	ids := make([]string, len(parts))
	for i, id := range parts {
		ids[i] = strconv.FormatUint(id, 16)
	}
	return strings.Join(ids, ",")
}

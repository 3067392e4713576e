package edge

import (
	"testing"
	"time"
)

// start plays a fleet that starts at once before a store whose link all readers share.
type start struct {
	routers   int
	seedsKnow bool // whether seeds get an answer of the store
	running   bool // whether the seeds ran and knew all before
	seedsOff  bool // whether the seeds do not answer

	reads int           // whole reads of the store that were begun
	known time.Duration // when the last router but the seeds knew enough
}

// startStep is the time between two looks at a played fleet.
const startStep = 5 * time.Millisecond

// startedRouter is a router of a played fleet.
type startedRouter struct {
	joining
	knows   bool
	reading float64       // bytes that are still to come from the store
	fetched time.Duration // when a fetch from a seed ends; 0 if none runs
}

// read goes on with a read of the store and ends a fetch.
func (r *startedRouter) read(up time.Duration, bytes float64, seedKnows, seedsOff bool) {
	if r.reading > 0 {
		r.reading -= bytes
		r.knows = r.knows || r.reading <= 0
		r.reading = max(r.reading, 0)
	}
	if r.fetched > 0 && up >= r.fetched {
		r.fetched = 0
		r.silent = seedsOff
		r.knows = r.knows || seedKnows && !seedsOff
	}
}

func (s *start) play() {
	const (
		seeds = 3
		fetch = 20 * time.Millisecond // from a seed
		link  = 125e6                 // bytes a second
		whole = 900e3                 // bytes of configuration and list
	)
	fleet := make([]startedRouter, s.routers)
	for i := range fleet {
		fleet[i].seed = i < seeds
		fleet[i].knows = s.running && i < seeds
	}
	begin := func(r *startedRouter) {
		if !r.knows && r.reading == 0 && (!r.seed || s.seedsKnow) {
			s.reads++
			r.reading = whole
		}
	}
	for up, left := time.Duration(0), 1; left > 0 && up < 10*time.Second; up += startStep {
		readers := 0
		for i := range fleet {
			if fleet[i].reading > 0 {
				readers++
			}
		}
		left = 0
		for i := range fleet {
			r := &fleet[i]
			r.read(up, link*startStep.Seconds()/float64(max(readers, 1)), fleet[0].knows, s.seedsOff)
			if r.seed {
				if !s.seedsOff {
					begin(r)
				}
				continue
			}
			if !r.knows {
				left++
				s.known = up
			}
			if r.fetched > 0 {
				continue
			}
			switch r.step(up, r.knows) {
			case joinAsk:
				r.fetched = up + fetch
			case joinDone:
				begin(r)
			case joinWait:
			}
		}
	}
}

// TestFleetThatStartsAtOnce checks who reads the store whole, and how soon the last
// router can serve.
func TestFleetThatStartsAtOnce(t *testing.T) {
	tests := []struct {
		name  string
		start start
		reads int
		known time.Duration
	}{
		{"a large fleet", start{routers: 370, seedsKnow: true}, 3, 250 * time.Millisecond},
		{"a small fleet", start{routers: 8, seedsKnow: true}, 3, 250 * time.Millisecond},
		{"the seeds run", start{routers: 370, running: true, seedsKnow: true}, 0, 50 * time.Millisecond},
		{"the store refuses the seeds", start{routers: 8}, 5, 600 * time.Millisecond},
		{"the seeds are off", start{routers: 8, seedsKnow: true, seedsOff: true}, 5, 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := tt.start
			s.play()
			if s.reads > tt.reads || s.known > tt.known {
				t.Errorf("%d whole reads of the store, the last router knew after %v; want at most %d, %v", s.reads, s.known, tt.reads, tt.known)
			}
		})
	}
}

// TestJoining checks the ends of a join that the play above does not meet.
func TestJoining(t *testing.T) {
	tests := []struct {
		name  string
		j     joining
		up    time.Duration
		knows bool
		want  joinStep
	}{
		{"no seeds", joining{alone: true}, 0, false, joinDone},
		{"a seed asks the others once", joining{seed: true}, 0, false, joinAsk},
		{"a seed reads then", joining{seed: true, asked: 1}, joinLook, false, joinDone},
		{"not yet", joining{asked: 1, next: joinEvery}, joinLook, false, joinWait},
		{"again", joining{asked: 1, next: joinEvery}, joinEvery, false, joinAsk},
		{"no seed answers", joining{asked: 1, silent: true, next: joinEvery}, joinLook, false, joinDone},
		{"in vain", joining{asked: 5, next: time.Second}, joinFor, false, joinDone},
		{"told", joining{asked: 1}, joinLook, true, joinDone},
	}
	for _, tt := range tests {
		if got := tt.j.step(tt.up, tt.knows); got != tt.want {
			t.Errorf("%s: step %d, want %d", tt.name, got, tt.want)
		}
	}
}

// TestListIsDue has a router hear that others have just read the list: it need not
// read it too, unless it never got one.
func TestListIsDue(t *testing.T) {
	tests := []struct {
		name   string
		listed bool
		age    time.Duration // of the others' list; 0 if none is known
		want   bool
	}{
		{"nothing is known", false, 0, true},
		{"others have the list", false, 10 * time.Millisecond, true},
		{"this router has it too", true, 10 * time.Millisecond, false},
		{"the list is old", true, time.Minute, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter(t)
			r.listed.Store(tt.listed)
			if tt.age > 0 {
				r.hearReading(tt.age, time.Hour)
			}
			if got := r.listDue(r.clock.Now()); got != tt.want {
				t.Errorf("due %v, want %v", got, tt.want)
			}
		})
	}
}

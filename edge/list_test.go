package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/replicas"
)

// TestListWait checks that a router does not read a list that others have just read, unless it has
// never had a list.
func TestListWait(t *testing.T) {
	tests := []struct {
		name   string
		listed bool
		age    time.Duration // of the list known to others; 0 if none
		rank   int
		want   bool
	}{
		{"no list is known", false, 0, 1, true},
		{"only others have the list", false, 10 * time.Millisecond, 1, true},
		{"this router has the list too", true, 10 * time.Millisecond, 1, false},
		{"the list is outdated", true, 4 * time.Second, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter(t)
			r.hasList.Store(tt.listed)
			if tt.age > 0 {
				r.mergePeerList(tt.age, time.Hour, 1)
			}
			if got := r.listWait(r.clock.Now(), tt.rank) == 0; got != tt.want {
				t.Errorf("reads at once: %v, want %v", got, tt.want)
			}
		})
	}
}

// refusingSource has a list of several pages and refuses some of the calls for them.
type refusingSource struct {
	Source
	pages        int
	refusedCalls map[int]bool // by the number of the call, from 1
	calls        int
}

var errBusy = errors.New("busy")

func (s *refusingSource) Replicas(_ context.Context, after string) (replicas.Page, error) {
	s.calls++
	if s.refusedCalls[s.calls] {
		return replicas.Page{}, errBusy
	}
	page := 0
	if after != "" {
		if _, err := fmt.Sscan(after, &page); err != nil {
			return replicas.Page{}, err
		}
	}
	p := replicas.Page{At: peridotusher.Position{Revision: int64(page + 7)}, Entries: []replicas.Entry{{ID: fmt.Sprint(page)}}}
	if page+1 < s.pages {
		p.Next = fmt.Sprint(page + 1)
	}
	return p, nil
}

// TestRefusedPagesAreRetried checks that no page is read twice if the store refuses some calls, as
// it does when many routers start at once.
func TestRefusedPagesAreRetried(t *testing.T) {
	const pages = 6
	tests := []struct {
		name    string
		refuses []int
		calls   int
		err     error
	}{
		{"none refused", nil, pages, nil},
		{"third and last refused", []int{3, 7}, pages + 2, nil},
		{"first refused", []int{1}, 1, errBusy},
		{"one refused repeatedly", []int{2, 3, 4, 5, 6}, 2 + maxPageRefusals, errBusy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			source := &refusingSource{pages: pages, refusedCalls: make(map[int]bool)}
			for _, call := range tt.refuses {
				source.refusedCalls[call] = true
			}
			r := newTestRouter(t)
			r.Source = source
			list, err := r.readPages(t.Context())
			if !errors.Is(err, tt.err) || source.calls != tt.calls {
				t.Fatalf("%d calls, %v; want %d, %v", source.calls, err, tt.calls, tt.err)
			}
			if err == nil && (len(list.Entries) != pages || list.At.Revision != 7) {
				t.Errorf("%d entries at revision %d", len(list.Entries), list.At.Revision)
			}
		})
	}
}

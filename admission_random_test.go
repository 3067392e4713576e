package peridotusher

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRandomFleet interleaves requests, releases, repeated releases and changes of the
// owner at random. While the owner does not change, the load bound must hold exactly.
// After a change an engine may get at most one unit of work beyond the limit during
// the takeover period. At the end every count must be zero.
func TestRandomFleet(t *testing.T) {
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := &randomFleet{net: newNetwork(t, 2+r.IntN(5), "a", "b", "c"), rand: r, ownerMoves: seed%2 == 1}
		f.net.setOwners("a", "b")
		f.owner = "a"
		for step := range 300 {
			if problem := f.step(step); problem != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, problem)
			}
		}
		if problem := f.finish(); problem != "" {
			t.Fatalf("seed %d: %s", seed, problem)
		}
	}
}

// randomFleet is a fleet with the permits that its requests hold.
type randomFleet struct {
	net        *network
	rand       *rand.Rand
	ownerMoves bool // whether ownership changes
	owner      RouterID
	movedAt    time.Time
	permits    []*Permit
}

func (f *randomFleet) step(step int) string {
	n := f.net
	switch f.rand.IntN(8) {
	case 0, 1, 2, 3:
		return f.sendRequest(step)
	case 4, 5:
		f.releaseOne()
	case 6:
		if f.ownerMoves && n.clock.Now().Sub(f.movedAt) > takeoverPeriod {
			f.moveOwnership()
		}
	default:
		n.clock.advance(time.Duration(f.rand.IntN(400)) * time.Millisecond)
		f.tick()
	}
	return ""
}

// sendRequest sends one request through a random router.
func (f *randomFleet) sendRequest(step int) string {
	n := f.net
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // an ask that would have to wait is canceled at once
	via := n.routers[RouterID([]string{"a", "b", "c"}[f.rand.IntN(3)])]
	req := n.chatRequest(f.rand.IntN(20))
	req.Work = 1 + 3*f.rand.IntN(2)
	before := f.works()
	ranking, err := via.ingress.Placer.Ranking(n.doc, req)
	if err != nil {
		return err.Error()
	}
	ask := Ask{Request: req, Engine: ranking[0].ID(), Ingress: via.id, Home: true}
	owner, _ := via.OwnerOf(ask.Engine, "a")
	answer := n.routers[owner].owner.Ask(ctx, ask)
	if !answer.Granted {
		return ""
	}
	f.permits = append(f.permits, via.ingress.trackPermit(answer, ranking[0], req))
	f.permits[len(f.permits)-1].endUsage = func() {}
	return f.checkLimit(step, before, ask)
}

// checkLimit compares the work before an admission with the limit over all permits.
func (f *randomFleet) checkLimit(step int, before map[EngineID]int, ask Ask) string {
	total := ask.Request.Work
	for _, work := range before {
		total += work
	}
	engines := len(f.net.routers["a"].engines.All())
	limit := int(math.Ceil(f.net.doc.Policy().Bound() * float64(total) / float64(engines)))
	if f.ownerMoves && f.net.clock.Now().Sub(f.movedAt) <= takeoverPeriod {
		limit++
	}
	if before[ask.Engine] >= limit {
		return fmt.Sprintf("request %d: %s had work %d, limit %d", step, ask.Engine, before[ask.Engine], limit)
	}
	return ""
}

// works sums the work of the held permits by engine.
func (f *randomFleet) works() map[EngineID]int {
	works := map[EngineID]int{}
	for _, p := range f.permits {
		works[p.engine.ID()] += p.req.Work
	}
	return works
}

// releaseOne releases one permit, in a quarter of the cases twice.
func (f *randomFleet) releaseOne() {
	if len(f.permits) == 0 {
		return
	}
	k := f.rand.IntN(len(f.permits))
	p := f.permits[k]
	f.permits = append(f.permits[:k], f.permits[k+1:]...)
	p.Done(context.Background(), Ran, false)
	if f.rand.IntN(4) == 0 {
		f.net.routers[f.owner].owner.Release(Release{Permit: p.id, Engine: p.engine.ID()})
	}
}

// moveOwnership makes another router the owner of all engines. The new owner has the
// loads from the former owner's last heartbeat; the ingresses report their permits to
// it afterwards.
func (f *randomFleet) moveOwnership() {
	n := f.net
	former := f.owner
	for _, id := range []RouterID{"a", "b", "c"} {
		if id != f.owner {
			f.owner = id
			break
		}
	}
	for _, r := range n.routers {
		r.owner.Ledger.SetRemote(n.clock.Now(), n.routers[former].owner.Ledger.Loads())
	}
	n.setOwners(f.owner, former)
	f.movedAt = n.clock.Now()
	f.tick()
	for _, e := range n.routers[f.owner].engines.All() {
		n.routers[f.owner].owner.Ledger.TakeOwnership(n.clock.Now(), e.ID())
	}
	for _, r := range n.routers {
		r.ingress.Renew(context.Background())
	}
}

func (f *randomFleet) tick() {
	for _, r := range f.net.routers {
		r.ingress.Renew(context.Background())
		r.owner.Tick()
	}
}

// finish releases all permits and compares the counts with zero.
func (f *randomFleet) finish() string {
	for len(f.permits) > 0 {
		f.releaseOne()
	}
	f.net.clock.advance(time.Minute)
	f.tick()
	f.tick()
	for id, r := range f.net.routers {
		for _, load := range r.owner.Ledger.Loads() {
			if load.Work != 0 || load.Permits != 0 {
				return fmt.Sprintf("router %s still counts %+v", id, load)
			}
		}
	}
	return ""
}

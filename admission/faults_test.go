package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestAcquire checks the outcome of a router's first request, and the time until it, for
// coordinators with one slot that are in different states.
func TestAcquire(t *testing.T) {
	tests := []struct {
		name  string
		setup func(fl *fleet)
		state State
		cause string
		took  time.Duration
		held  [2]int // granted and waiting requests at the coordinator in the end
	}{
		{"granted", func(*fleet) {}, Granted, "", 2 * hop, [2]int{}},
		{"the router itself is the coordinator", func(fl *fleet) { fl.coordinator = "a" }, Granted, "", 0, [2]int{}},
		{"no coordinator", func(fl *fleet) { fl.coordinator = "" }, Bypassed, causeNoCoordinator, 0, [2]int{}},
		{"waits for a slot", func(fl *fleet) {
			fl.occupySlot("b", 300*time.Millisecond)
		}, Granted, "", 300*time.Millisecond + hop, [2]int{}},
		{"refused in time", func(fl *fleet) {
			fl.occupySlot("b", 2500*time.Millisecond)
		}, Refused, "", 2*time.Second - serviceTime + 2*hop, [2]int{}},
		{"killed before", func(fl *fleet) { fl.kill("c") }, Bypassed, causeNoReply, replyTimeout, [2]int{}},
		{"killed while the request waits", func(fl *fleet) {
			fl.occupySlot("b", 2500*time.Millisecond)
			time.AfterFunc(100*time.Millisecond, func() { fl.kill("c") })
		}, Bypassed, causeNoReply, 2*hop + resendInterval + replyTimeout, [2]int{}},
		{"paused", func(fl *fleet) {
			fl.delaySends("c", 200*time.Millisecond)
		}, Bypassed, causeNoReply, replyTimeout, [2]int{}},
		{"paused, and the cancel is lost", func(fl *fleet) {
			fl.delaySends("c", 200*time.Millisecond)
			fl.dropSecondDatagram("a")
		}, Bypassed, causeNoReply, replyTimeout, [2]int{}},
		{"never decides", func(fl *fleet) {
			fl.router("c").coordinator.NewQueue = func() ServiceQueue { return undecidedQueue{} }
		}, Refused, causeUndecided, relaxedRequest.LatencyTarget, [2]int{}},
		{"unreachable", func(fl *fleet) { fl.dropBetween("a", "c") }, Bypassed, causeNoReply, replyTimeout, [2]int{}},
		{"stops while the request waits", func(fl *fleet) {
			fl.occupySlot("b", 500*time.Millisecond)
			time.AfterFunc(100*time.Millisecond, func() { fl.router("c").coordinator.Stop() })
		}, Bypassed, causeStopping, 100*time.Millisecond + hop, [2]int{}},
		{"stopping", func(fl *fleet) { fl.router("c").coordinator.Stop() }, Bypassed, causeStopping, 2 * hop, [2]int{}},
		{"grants an unknown replica", func(fl *fleet) {
			fl.router("a").client.KnowsReplica = func(uint32) bool { return false }
		}, Bypassed, causeUnusableReplica, 2 * hop, [2]int{}},
		{"knows no replica", func(fl *fleet) {
			fl.router("c").coordinator.Replicas = func(string) []AvailableReplica { return nil }
		}, Bypassed, causeUnable, 2 * hop, [2]int{}},
		{"is the router itself and knows no replica", func(fl *fleet) {
			fl.coordinator = "a"
			fl.router("a").coordinator.Replicas = func(string) []AvailableReplica { return nil }
		}, Bypassed, causeUnable, 0, [2]int{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 1, func(fl *fleet) {
				tt.setup(fl)
				g := fl.router("a").acquire(fl.ctx, relaxedRequest, 10*time.Millisecond)
				if g.State != tt.state || g.Cause != tt.cause || g.took < tt.took || g.took > tt.took+2*time.Millisecond {
					t.Errorf("%v (%q) after %v, want %v (%q) after %v", g.State, g.Cause, g.took, tt.state, tt.cause, tt.took)
				}
				time.Sleep(time.Second)
				if r := fl.router("c"); r != nil && r.slotsAndWaiting() != tt.held {
					t.Errorf("slots held and requests waiting: %v, want %v", r.slotsAndWaiting(), tt.held)
				}
			})
		})
	}
}

// occupySlot makes a router hold the one slot for the time d.
func (fl *fleet) occupySlot(router string, d time.Duration) {
	var granted sync.WaitGroup
	granted.Add(1)
	fl.group.Go(func() error {
		g := fl.router(router).client.Acquire(fl.ctx, Request{Service: "s", LatencyTarget: d, Deadline: 2 * d})
		granted.Done()
		time.Sleep(d - hop)
		g.Release(Usage{Replica: 1, Took: d})
		return nil
	})
	granted.Wait()
}

// delaySends delays the datagrams of a router by d.
func (fl *fleet) delaySends(router string, d time.Duration) {
	fl.deliver = func(from, _ string, send func()) {
		if from == router {
			time.AfterFunc(d, send)
			return
		}
		time.AfterFunc(hop, send)
	}
}

// dropSecondDatagram drops the second datagram of a router.
func (fl *fleet) dropSecondDatagram(router string) {
	before := fl.deliver
	fl.deliver = func(from, to string, send func()) {
		if from != router || fl.router(router).sent.Load() != 2 {
			before(from, to, send)
		}
	}
}

// undecidedQueue is a queue in which all requests wait forever.
type undecidedQueue struct{ ServiceQueue }

func (undecidedQueue) SetReplicas([]AvailableReplica)             {}
func (undecidedQueue) Submit(Request) Reply                       { return Reply{State: Waiting} }
func (undecidedQueue) Cancel(string, int64, uint64)               {}
func (undecidedQueue) TakeDecisions() ([]Decision, time.Duration) { return nil, 0 }

// dropBetween drops all datagrams between two routers.
func (fl *fleet) dropBetween(a, b string) {
	fl.deliver = func(from, to string, send func()) {
		if from == a && to == b || from == b && to == a {
			return
		}
		time.AfterFunc(hop, send)
	}
}

// TestBypassEnds checks that a coordinator that did not reply gets no requests for
// bypassDuration, so that not every request waits for its reply, and gets requests again after
// that.
func TestBypassEnds(t *testing.T) {
	runFleet(t, 1, func(fl *fleet) {
		fl.dropBetween("a", "c")
		a := fl.router("a")
		a.acquire(fl.ctx, relaxedRequest, 0)
		sent := a.sent.Load()
		if g := a.acquire(fl.ctx, relaxedRequest, 0); g.Cause != causeBypassed || g.took != 0 || a.sent.Load() != sent {
			t.Errorf("%q after %v with %d datagrams, want %q at once", g.Cause, g.took, a.sent.Load()-sent, causeBypassed)
		}
		fl.dropBetween("", "")
		time.Sleep(bypassDuration)
		if g := a.acquire(fl.ctx, relaxedRequest, 0); g.State != Granted {
			t.Errorf("%v after %v, want a grant", g.State, bypassDuration)
		}
	})
}

// TestShortDeadline checks that a request ends at its deadline if that is before replyTimeout.
func TestShortDeadline(t *testing.T) {
	const deadline = 10 * time.Millisecond
	runFleet(t, 1, func(fl *fleet) {
		fl.dropBetween("a", "c")
		if g := fl.router("a").acquire(fl.ctx, Request{
			LatencyTarget: deadline, Deadline: deadline,
		}, 0); g.State != Refused || g.took != deadline {
			t.Errorf("%v after %v, want a refusal at the deadline of %v", g.State, g.took, deadline)
		}
	})
}

// TestClientDisconnects checks that the request of a client that disconnects while it waits is
// canceled and gets no slot.
func TestClientDisconnects(t *testing.T) {
	runFleet(t, 1, func(fl *fleet) {
		fl.occupySlot("b", 300*time.Millisecond)
		ctx, disconnect := context.WithTimeout(fl.ctx, 100*time.Millisecond)
		defer disconnect()
		if g := fl.router("a").acquire(ctx, relaxedRequest, 0); g.State != Refused || g.Cause != causeDisconnected ||
			g.took != 100*time.Millisecond {
			t.Errorf("%v (%q) after %v, want a refusal when the client disconnects", g.State, g.Cause, g.took)
		}
		time.Sleep(2 * hop)
		if held := fl.router("c").slotsAndWaiting(); held != [2]int{1, 0} {
			t.Errorf("slots held and requests waiting: %v, want only the other router's slot", held)
		}
	})
}

// TestLeaseOfLostRouter checks that the slot of a router that stopped without releasing it is
// free when its lease ends, not before. The restarted router, which uses the same ids, does not
// release it earlier.
func TestLeaseOfLostRouter(t *testing.T) {
	const deadline = 800 * time.Millisecond
	runFleet(t, 1, func(fl *fleet) {
		fl.router("a").client.Acquire(fl.ctx, Request{Service: "s", LatencyTarget: deadline, Deadline: deadline})
		restarted := fl.start("a", 2)
		refused := restarted.acquire(fl.ctx, Request{LatencyTarget: 200 * time.Millisecond, Deadline: 200 * time.Millisecond}, 0)
		if refused.State != Refused {
			t.Errorf("%v while the lease lasts, want a refusal", refused.State)
		}
		if g := restarted.acquire(fl.ctx, relaxedRequest, 0); g.State != Granted || g.took < time.Second {
			t.Errorf("%v after %v, want a grant when the lease has ended", g.State, g.took)
		}
		if expired := fl.router("c").coordinator.Stats().Expired; expired != 1 {
			t.Errorf("%d leases have ended, want 1", expired)
		}
	})
}

// TestRestartWithSameIDs checks that a restarted router ignores replies to requests of its
// previous start, which had the same ids, and cannot release their slots.
func TestRestartWithSameIDs(t *testing.T) {
	runFleet(t, 2, func(fl *fleet) {
		fl.delaySends("c", 20*time.Millisecond)
		fl.group.Go(func() error {
			fl.router("a").client.Acquire(fl.ctx, Request{Service: "s", LatencyTarget: time.Second, Deadline: time.Second})
			return nil
		})
		time.Sleep(10 * time.Millisecond)
		restarted := fl.start("a", 2)
		if g := restarted.acquire(fl.ctx, relaxedRequest, 0); g.State != Granted || g.took != hop+20*time.Millisecond {
			t.Errorf("%v after %v, want the grant of the restarted router's request", g.State, g.took)
		}
		restarted.client.Receive(Reply{ID: 1, Incarnation: 1, State: Granted, Replica: 1})
		restarted.assumedCoordinator().Release("s", "a", 2, 1, Usage{Replica: 1})
		if held := fl.router("c").slotsAndWaiting(); held != [2]int{1, 0} {
			t.Errorf("slots held and requests waiting: %v, want the slot of the first start", held)
		}
	})
}

// assumedCoordinator returns the coordinator that the router sends its requests to.
func (r *testRouter) assumedCoordinator() *Coordinator {
	return r.fleet.router(r.fleet.coordinator).coordinator
}

// TestUnreliableNetwork sends requests of three routers over a network that drops, repeats,
// delays and reorders datagrams, and checks that each request gets one outcome before its
// deadline and that all slots are free once the leases have ended.
func TestUnreliableNetwork(t *testing.T) {
	const clients, requests = 8, 60
	for seed := range uint64(5) {
		runFleet(t, 4, func(fl *fleet) {
			var mu sync.Mutex
			source := rand.New(rand.NewPCG(seed, 7))
			draw := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return source.IntN(n)
			}
			fl.deliver = func(_, _ string, send func()) {
				for range max(draw(12)-9, 0) + min(draw(20), 1) { // zero to three times
					time.AfterFunc(time.Duration(draw(20))*time.Millisecond, send)
				}
			}
			var outcomes [Bypassed + 1]atomic.Int32
			var group errgroup.Group
			for _, r := range []*testRouter{fl.router("a"), fl.router("b"), fl.router("c")} {
				for range clients {
					group.Go(func() error {
						for range requests {
							g := r.acquire(fl.ctx, Request{
								LatencyTarget: 400 * time.Millisecond, Deadline: 500 * time.Millisecond,
							}, 30*time.Millisecond)
							outcomes[g.State].Add(1)
							if g.took > 500*time.Millisecond {
								t.Errorf("seed %d: %v after %v, past the deadline", seed, g.State, g.took)
							}
							time.Sleep(time.Duration(draw(150)) * time.Millisecond)
						}
						return nil
					})
				}
			}
			_ = group.Wait() // the clients return no errors
			refused, granted, bypassed := outcomes[Refused].Load(), outcomes[Granted].Load(), outcomes[Bypassed].Load()
			if refused+granted+bypassed != 3*clients*requests || granted == 0 || bypassed == 0 {
				t.Errorf("seed %d: %d requests refused, %d granted, %d bypassed of %d",
					seed, refused, granted, bypassed, 3*clients*requests)
			}
			if fl.maxRunning > 4 {
				t.Errorf("seed %d: %d slots held at once of 4", seed, fl.maxRunning)
			}
			time.Sleep(500*time.Millisecond + leaseMargin + refreshInterval)
			if held := fl.router("c").slotsAndWaiting(); held != [2]int{} {
				t.Errorf("seed %d: slots held and requests waiting %v after all leases", seed, held)
			}
		})
	}
}

// TestPartitionedFleet checks that each half of a partitioned fleet has a coordinator that grants
// requests, and that one coordinator grants all requests when the partition has ended.
func TestPartitionedFleet(t *testing.T) {
	half := map[string]bool{"a": true, "b": true}
	runFleet(t, 1, func(fl *fleet) {
		before := fl.deliver
		fl.deliver = func(from, to string, send func()) {
			if half[from] == half[to] {
				before(from, to, send)
			}
		}
		if g := fl.router("a").acquire(fl.ctx, relaxedRequest, 0); g.Cause != causeNoReply {
			t.Errorf("%v (%q) before the other half is treated as lost, want %q", g.State, g.Cause, causeNoReply)
		}
		fl.views["a"], fl.views["b"] = "b", "b"
		for _, name := range []string{"a", "b", "c", "d"} {
			if g := fl.router(name).acquire(fl.ctx, relaxedRequest, time.Millisecond); g.State != Granted {
				t.Errorf("router %s: %v (%q) in the partitioned fleet, want a grant", name, g.State, g.Cause)
			}
		}
		fl.deliver, fl.views = before, map[string]string{}
		time.Sleep(bypassDuration)
		fl.maxRunning = 0
		var group errgroup.Group
		for _, name := range []string{"a", "b", "c", "d"} {
			group.Go(func() error {
				if g := fl.router(name).acquire(fl.ctx, relaxedRequest, 20*time.Millisecond); g.State != Granted {
					t.Errorf("router %s: %v (%q) after the partition, want a grant", name, g.State, g.Cause)
				}
				return nil
			})
		}
		_ = group.Wait() // the requests return no errors
		if fl.maxRunning != 1 {
			t.Errorf("%d slots held at once of 1", fl.maxRunning)
		}
	})
}

// TestNewCoordinator kills a coordinator that granted a slot and checks that the next one, which
// has just started, ignores the release of the slot that it did not grant.
func TestNewCoordinator(t *testing.T) {
	runFleet(t, 1, func(fl *fleet) {
		a := fl.router("a")
		g := a.client.Acquire(fl.ctx, Request{Service: "s", LatencyTarget: time.Second, Deadline: time.Second})
		fl.kill("c")
		fl.coordinator = "d"
		b := fl.router("b").client.Acquire(fl.ctx, Request{Service: "s", LatencyTarget: time.Second, Deadline: time.Second})
		fl.router("d").coordinator.Release("s", "a", 1, 1, Usage{Replica: 1})
		g.Release(Usage{Replica: 1})
		time.Sleep(10 * time.Millisecond)
		if held := fl.router("d").slotsAndWaiting(); b.State != Granted || held != [2]int{1, 0} {
			t.Errorf("%v, %v slots held and requests waiting; want the one slot granted and still held", b.State, held)
		}
	})
}

// TestReorderedMessages checks that messages about a request that arrive late, repeatedly or in
// another order neither occupy a slot twice nor release one that another request holds.
func TestReorderedMessages(t *testing.T) {
	r := Request{ID: 1, Router: "a", Incarnation: 1, Service: "s", LatencyTarget: time.Second, Deadline: time.Second}
	other := r
	other.ID = 2
	tests := []struct {
		name string
		send func(c *Coordinator)
		held [2]int
	}{
		{"submitted twice", func(c *Coordinator) { c.Submit(r); c.Submit(r) }, [2]int{1, 0}},
		{"waits, submitted twice", func(c *Coordinator) { c.Submit(other); c.Submit(r); c.Submit(r) }, [2]int{1, 1}},
		{"submitted after the cancel", func(c *Coordinator) {
			c.Submit(other)
			c.Cancel("s", "a", 1, 1)
			c.Submit(r)
		}, [2]int{1, 0}},
		{"submitted after the release", func(c *Coordinator) {
			c.Submit(r)
			c.Release("s", "a", 1, 1, Usage{})
			c.Submit(r)
		}, [2]int{}},
		{"released twice", func(c *Coordinator) {
			c.Submit(r)
			c.Release("s", "a", 1, 1, Usage{})
			c.Submit(other)
			c.Release("s", "a", 1, 1, Usage{})
		}, [2]int{1, 0}},
		{"canceled, then released", func(c *Coordinator) {
			c.Submit(r)
			c.Cancel("s", "a", 1, 1)
			c.Submit(other)
			c.Release("s", "a", 1, 1, Usage{})
		}, [2]int{1, 0}},
		{"released by a restarted router", func(c *Coordinator) {
			c.Submit(r)
			c.Release("s", "a", 2, 1, Usage{})
		}, [2]int{1, 0}},
		{"of an unknown service", func(c *Coordinator) {
			c.Release("x", "a", 1, 1, Usage{})
			c.Cancel("y", "a", 1, 1)
		}, [2]int{}},
	}
	for _, tt := range tests {
		runFleet(t, 1, func(fl *fleet) {
			c := fl.router("c")
			tt.send(c.coordinator)
			if held := c.slotsAndWaiting(); held != tt.held {
				t.Errorf("%s: slots held and requests waiting %v, want %v", tt.name, held, tt.held)
			}
		})
	}
}

// TestNothingPending checks that a coordinator without requests schedules no step, and one with
// only granted requests none before the first lease ends.
func TestNothingPending(t *testing.T) {
	runFleet(t, 1, func(fl *fleet) {
		c := fl.router("c").coordinator
		if wait := c.step(); wait != 0 {
			t.Errorf("the next step is after %v without a request, want none", wait)
		}
		c.Submit(Request{ID: 1, Router: "a", Service: "s", LatencyTarget: time.Second, Deadline: 3 * time.Second})
		if wait := c.step(); wait != 4*time.Second {
			t.Errorf("the next step is after %v with one slot granted, want 4s", wait)
		}
		c.Submit(Request{ID: 2, Router: "a", Service: "s", LatencyTarget: time.Second, Deadline: time.Second})
		if wait := c.step(); wait != refreshInterval {
			t.Errorf("the next step is after %v with one request waiting, want %v", wait, refreshInterval)
		}
	})
}

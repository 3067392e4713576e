package main

import (
	"fmt"
	"strings"
	"time"
)

// promptHeaders are the headers of a request for a model.
var promptHeaders = map[string]string{"X-Model": "m", "X-Token-Counts": "1460,80", "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}

// streams are requests for streams that are being answered.
type streams struct{ results chan result }

// openStreams sends count requests for streams, to the routers in turn.
func (b *bed) openStreams(count int, routers ...int) *streams {
	s := &streams{results: make(chan result, count)}
	for i := range count {
		headers := map[string]string{}
		for name, value := range promptHeaders {
			headers[name] = value
		}
		headers["X-Prompt-Prefix"] = fmt.Sprintf("%x:800,%x:250", 0x5c1e07a2+i, 0xe4402b7d+i)
		go func() { s.results <- b.send(routers[i%len(routers)], "POST", streamPath+"2f", headers, 15*time.Second) }()
	}
	return s
}

// judge waits for the answers. The rule is broken by one that ends as complete before its last piece.
func (s *streams) judge(count int) verdict {
	cut, whole, aborted := 0, 0, 0
	last := fmt.Sprintf("piece %d of %d\n", streamEvents, streamEvents)
	for range count {
		switch r := <-s.results; {
		case strings.Contains(r.body, last) && r.complete:
			whole++
		case r.status == 200 && r.complete:
			cut++
		default:
			aborted++
		}
	}
	return verdict{broken: cut > 0, text: fmt.Sprintf("of %d streams %d came whole, %d ended early and did not look complete, %d ended early and looked complete", count, whole, aborted, cut)}
}

// streamCount is the number of streams of a case. Each replica gets some of them.
const streamCount = 12

// playOverstay lets a replica that is draining crash after the drain time while it still serves.
func playOverstay(b *bed, trouble bool) (verdict, error) {
	all, err := b.deploy()
	if err != nil {
		return verdict{}, err
	}
	s := b.openStreams(streamCount, 11, 12)
	time.Sleep(time.Second)
	leaving := busiest(all)
	b.reportDraining(leaving)
	time.Sleep(drainTime + 1500*time.Millisecond)
	if trouble {
		if err := b.crash(leaving); err != nil {
			return verdict{}, err
		}
	}
	v := s.judge(streamCount)
	if !trouble {
		if err := b.exit(leaving); err != nil {
			return verdict{}, err
		}
	}
	return v, nil
}

// playPartition cuts one replica of six off from the store for five seconds, at the end of which it crashes
// behind the cut and starts again.
func playPartition(b *bed, trouble bool) (verdict, error) {
	const cutTime = 5 * time.Second
	all, err := b.deploy()
	if err != nil {
		return verdict{}, err
	}
	s := b.openStreams(streamCount, 11, 12)
	time.Sleep(time.Second)
	r := busiest(all)
	for trouble && !r.isAboutToBeat() {
		time.Sleep(time.Millisecond)
	}
	if trouble {
		b.cutOff(r, true)
		time.Sleep(cutTime - 200*time.Millisecond)
		if err := b.crash(r); err != nil {
			return verdict{}, err
		}
		time.Sleep(500 * time.Millisecond)
		if err := b.restartReplica(r); err != nil {
			return verdict{}, err
		}
	}
	return s.judge(streamCount), nil
}

// isAboutToBeat reports whether the next beat is due within a tenth of the interval.
func (r *replica) isAboutToBeat() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastBeat) > beatInterval*9/10
}

// playFreezeCrash freezes a router for 3.5 s. Meanwhile a replica crashes and starts again under its id.
func playFreezeCrash(b *bed, trouble bool) (verdict, error) {
	const (
		frozenRouter = 11
		frozen       = 3500 * time.Millisecond
		untilDown    = 300 * time.Millisecond
		down         = 2 * time.Second
	)
	all, err := b.deploy()
	if err != nil {
		return verdict{}, err
	}
	s := b.openStreams(streamCount, frozenRouter)
	time.Sleep(time.Second)
	r := busiest(all)
	if trouble {
		err = b.freeze(frozenRouter, frozen, func() error {
			time.Sleep(untilDown)
			if err := b.crash(r); err != nil {
				return err
			}
			time.Sleep(down)
			return b.restartReplica(r)
		})
	}
	if err != nil {
		return verdict{}, err
	}
	return s.judge(streamCount), nil
}

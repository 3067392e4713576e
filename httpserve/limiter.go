package httpserve

import (
	"container/list"
	"net"
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// minHeadMemory is the smallest limit of the memory of heads. One head of the shortest lines fits in half of
	// it if it has 16 KB.
	minHeadMemory = 8 << 20
	// byteCost and lineCost are the memory that a byte and a line of a head take until the request is answered. A
	// line becomes a string, a slice and an entry of a map, and the header is copied for the endpoint.
	byteCost = 4
	lineCost = 512
	// smallHead is the cost up to which a head may use the whole limit. Larger ones share half of it, so that they
	// leave room for those of ordinary requests.
	smallHead = 32 << 10
	// reportInterval is the shortest time between two reports of refusals for the same reason.
	reportInterval = time.Second
)

// Refusal is the reason for which a client is refused or disconnected.
type Refusal string

// The reasons of refusals.
const (
	RefusedSize        Refusal = "size"        // the head is too large: status 431
	RefusedMemory      Refusal = "memory"      // too little memory is left for the head: status 503
	Evicted            Refusal = "evicted"     // the connection was closed in favour of another one
	RefusedConnections Refusal = "connections" // too many connections are open, none of which is evicted
)

// Limiter limits what the clients of one listener occupy with requests that have not arrived whole: connections,
// and the memory of heads, which is accounted for before they are parsed. Connections without a whole request
// are evicted for others, the one that waits longest first. Its fields are set before use.
type Limiter struct {
	Clock peridotusher.Clock
	// MaxConns is the largest number of open connections.
	MaxConns int
	// HeadMemory is the memory in bytes that the heads of requests may take until the requests are answered.
	HeadMemory int64
	// MaxHeadBytes returns the size in bytes of the largest head.
	MaxHeadBytes func() int
	// IdleReuse returns for how long a client may rely on a connection that is idle. After that it may be evicted. Nil
	// means not at all.
	IdleReuse func() time.Duration
	// Count is called for each refusal, Report at intervals with the number of those for a reason since the last
	// report, to log it. They must not block. Nil disables them.
	Count  func(reason Refusal)
	Report func(reason Refusal, number int)

	mu       sync.Mutex
	open     int
	used     int64           // cost of all heads in bytes
	waiting  list.List       // of *RequestReader without a whole request, the longest waiting first
	idle     list.List       // of *RequestReader between two requests, the longest idle first
	unlogged map[Refusal]int // refusals since the last report
	loggedAt map[Refusal]time.Time
}

// Accept admits a new connection, for which another one may be closed. It returns false if there are too many.
// Attach must be called on the result before the first Read, and Release once the connection is closed.
func (l *Limiter) Accept(c net.Conn) (*RequestReader, bool) {
	closeEvicted(l.makeRoom())
	l.mu.Lock()
	full := l.open >= l.MaxConns
	if !full {
		l.open++
	}
	l.mu.Unlock()
	if full {
		l.refuse(RefusedConnections)
		return nil, false
	}
	return &RequestReader{limiter: l, conn: c}, true
}

// AcceptFrom accepts the next connection of a listener that Accept admits, and closes the others.
func (l *Limiter) AcceptFrom(listener net.Listener) (net.Conn, *RequestReader, error) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return nil, nil, err
		}
		if requests, ok := l.Accept(c); ok {
			return c, requests, nil
		}
		_ = c.Close() // nothing was read on it
	}
}

// makeRoom evicts a connection for a new one, if too many are open, and returns it.
func (l *Limiter) makeRoom() []*RequestReader {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open < l.MaxConns {
		return nil
	}
	r := l.longestWaiting()
	if r == nil {
		return nil
	}
	r.end()
	return []*RequestReader{r}
}

// longestWaiting returns the connection without a whole request to evict first, nil if there is none;
// l.mu must be held.
func (l *Limiter) longestWaiting() *RequestReader {
	if e := l.waiting.Front(); e != nil {
		return e.Value.(*RequestReader)
	}
	if e := l.idle.Front(); e != nil {
		if r := e.Value.(*RequestReader); l.Clock.Now().Sub(r.idleSince) >= l.idleReuse() {
			return r
		}
	}
	return nil
}

// idleReuse returns for how long a client may rely on a connection that is idle.
func (l *Limiter) idleReuse() time.Duration {
	if l.IdleReuse == nil {
		return 0
	}
	return l.IdleReuse()
}

// acquire raises the cost of the head that is being received, for which other connections may be evicted. It
// returns those, and false if the memory does not suffice; l.mu must be held.
func (l *Limiter) acquire(r *RequestReader, cost int64) (evicted []*RequestReader, ok bool) {
	limit := max(l.HeadMemory, minHeadMemory)
	if cost > smallHead {
		limit /= 2
	}
	more := cost - r.headCost
	for e := l.waiting.Front(); e != nil && l.used+more > limit; {
		other := e.Value.(*RequestReader)
		e = e.Next()
		if other != r && other.headCost+other.requestCost > 0 {
			other.end()
			evicted = append(evicted, other)
		}
	}
	if l.used+more > limit {
		return evicted, false
	}
	l.used += more
	r.headCost = cost
	return evicted, true
}

// refuse counts a refusal and reports the number of them at intervals.
func (l *Limiter) refuse(reason Refusal) {
	if l.Count != nil {
		l.Count(reason)
	}
	if l.Report == nil {
		return
	}
	l.mu.Lock()
	if l.unlogged == nil {
		l.unlogged, l.loggedAt = make(map[Refusal]int), make(map[Refusal]time.Time)
	}
	l.unlogged[reason]++
	now, number := l.Clock.Now(), 0
	if at, ok := l.loggedAt[reason]; !ok || now.Sub(at) >= reportInterval {
		number = l.unlogged[reason]
		l.unlogged[reason], l.loggedAt[reason] = 0, now
	}
	l.mu.Unlock()
	if number > 0 {
		l.Report(reason, number)
	}
}

// Stats returns the number of open connections and the memory of heads in bytes.
func (l *Limiter) Stats() (open int, headBytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.used
}

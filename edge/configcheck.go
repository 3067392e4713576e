package edge

import (
	"sync"
	"time"

	"peridotusher.example/peridotusher"
)

const (
	// minCheckDelay is the minimum time between a complete read of the configuration and the next
	// check for changes: a router that starts has just read everything. The router that reads the
	// list of replicas checks the configuration too.
	minCheckDelay = time.Second
	// completeReadInterval is the interval between two complete reads of the configuration.
	completeReadInterval = 5 * time.Second
)

// configurationCheck tracks up to which position this router has read the configuration outside
// of its watch.
type configurationCheck struct {
	mu               sync.Mutex
	position         peridotusher.Position // where to continue; revision 0 for a complete read
	lastCompleteRead time.Time
}

// recordCompleteRead records a complete read of the configuration at a position.
func (c *configurationCheck) recordCompleteRead(now time.Time, at peridotusher.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.position, c.lastCompleteRead = at, now
}

// recordPosition records that changes were read up to a position.
func (c *configurationCheck) recordPosition(at peridotusher.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.position = at
}

// next returns the position after which to request changes, with revision 0 for a complete read.
// due is false shortly after a complete read.
func (c *configurationCheck) next(now time.Time) (at peridotusher.Position, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.position.Revision == 0 || now.Sub(c.lastCompleteRead) >= completeReadInterval {
		return peridotusher.Position{}, true
	}
	return c.position, now.Sub(c.lastCompleteRead) >= minCheckDelay
}

package admission

import "time"

// register records a new request to a coordinator.
func (c *Client) register(r Request, router string, self bool) *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = make(map[uint64]*pendingRequest)
		c.abandoned = make(map[uint64]*pendingRequest)
	}
	c.lastID++
	r.ID, r.Router, r.Incarnation, r.Zone = c.lastID, c.Router, c.Incarnation, c.Zone
	p := &pendingRequest{
		Request: r, coordinator: router, self: self, started: c.Clock.Now(), replies: make(chan Reply, maxBufferedReplies),
	}
	c.pending[r.ID] = p
	return p
}

// removePending removes a request that the coordinator decided on.
func (c *Client) removePending(p *pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, p.ID)
}

// abandon cancels a request that the coordinator has not decided on, and remembers it so
// that a late grant is canceled too. It returns g.
func (c *Client) abandon(p *pendingRequest, g Grant) Grant {
	c.mu.Lock()
	delete(c.pending, p.ID)
	c.abandoned[p.ID] = p
	c.abandonedOrder = append(c.abandonedOrder, p.ID)
	if len(c.abandonedOrder) > maxAbandoned {
		delete(c.abandoned, c.abandonedOrder[0])
		c.abandonedOrder = c.abandonedOrder[1:]
	}
	c.mu.Unlock()
	c.cancel(p)
	return g
}

// deliver passes a reply to the request that waits for it. If the reply grants an abandoned
// request, deliver returns that request.
func (c *Client) deliver(reply Reply) (abandoned *pendingRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[reply.ID]; ok {
		select {
		case p.replies <- reply:
		default: // the buffer is full: the request is sent again later
		}
		return nil
	}
	if reply.State == Granted {
		return c.abandoned[reply.ID]
	}
	return nil
}

// isBypassed reports whether a router failed to reply within the last bypassDuration.
func (c *Client) isBypassed(router string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.bypassed[router]
	if ok && !c.Clock.Now().Before(until) {
		delete(c.bypassed, router)
		return false
	}
	return ok
}

// setBypassed excludes a router as coordinator for bypassDuration. Expired entries are removed,
// which bounds the map.
func (c *Client) setBypassed(router string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bypassed == nil {
		c.bypassed = make(map[string]time.Time)
	}
	now := c.Clock.Now()
	for name, until := range c.bypassed {
		if !now.Before(until) {
			delete(c.bypassed, name)
		}
	}
	c.bypassed[router] = now.Add(bypassDuration)
}

package standin

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// engineEventLimit is the number of past cache events that readers can still fetch.
const engineEventLimit = 4096

// engineCacheEvent reports that a prefix was stored or evicted.
type engineCacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Chat     string `json:"chat"`
	Stored   bool   `json:"stored"`
	Tokens   int    `json:"tokens"`
	at       time.Time
}

// engineEntry is one chat's cached prefix.
type engineEntry struct {
	chat   string
	tokens int
}

// engineCache is an LRU cache of prompt prefixes with a capacity in tokens. The Engine's mu guards it.
type engineCache struct {
	capacity int
	used     int
	recent   *list.List // of *engineEntry, most recently used first
	byChat   map[string]*list.Element
	sequence uint64
	events   []engineCacheEvent
	lossRate float64
	random   *rand.Rand
}

// init creates an empty cache.
func (c *engineCache) init(seed uint64, capacity int, gap float64) {
	c.capacity = capacity
	c.lossRate = gap
	c.recent = list.New()
	c.byChat = make(map[string]*list.Element)
	c.random = rand.New(rand.NewPCG(seed, seed))
}

// lookup returns how many of the prompt's tokens are cached for the chat.
func (c *engineCache) lookup(chat string, prompt int) int {
	element := c.byChat[chat]
	if element == nil {
		return 0
	}
	c.recent.MoveToFront(element)
	return min(element.Value.(*engineEntry).tokens, prompt)
}

// store caches a chat's prefix and evicts others until it fits.
func (c *engineCache) store(chat string, tokens int, now time.Time) {
	if chat == "" || tokens > c.capacity {
		return
	}
	if element := c.byChat[chat]; element != nil {
		c.used -= element.Value.(*engineEntry).tokens
		c.recent.Remove(element)
	}
	c.byChat[chat] = c.recent.PushFront(&engineEntry{chat: chat, tokens: tokens})
	c.used += tokens
	c.publish(chat, true, tokens, now)
	for c.used > c.capacity {
		c.evict(now)
	}
}

// evict removes the least recently used prefix.
func (c *engineCache) evict(now time.Time) {
	element := c.recent.Back()
	entry := element.Value.(*engineEntry)
	c.recent.Remove(element)
	delete(c.byChat, entry.chat)
	c.used -= entry.tokens
	c.publish(entry.chat, false, entry.tokens, now)
}

// publish records a cache event, or loses it with probability lossRate.
func (c *engineCache) publish(chat string, stored bool, tokens int, now time.Time) {
	c.sequence++
	if c.random.Float64() < c.lossRate {
		return
	}
	c.events = append(c.events, engineCacheEvent{c.sequence, chat, stored, tokens, now})
	if len(c.events) > engineEventLimit {
		c.events = c.events[1:]
	}
}

// published returns the events after the sequence number that are not later than until.
func (c *engineCache) published(after uint64, until time.Time) []engineCacheEvent {
	var events []engineCacheEvent
	for _, event := range c.events {
		if event.Sequence > after && !event.at.After(until) {
			events = append(events, event)
		}
	}
	return events
}

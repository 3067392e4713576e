package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/service"
)

// CacheEvent reports that an engine stored a chat's prefix in its cache or evicted it.
type CacheEvent struct {
	Sequence uint64
	Chat     peridotusher.ChatKey
	Stored   bool // false if the prefix was evicted
	Tokens   int
	Gap      bool // events right before this one are missing
}

// cacheEventData is the JSON of one server-sent cache event.
type cacheEventData struct {
	Sequence uint64 `json:"sequence"`
	Chat     string `json:"chat"`
	Stored   bool   `json:"stored"`
	Tokens   int    `json:"tokens"`
}

// CacheEvents calls fn with each cache event after the given sequence number.
// It returns when ctx ends, the connection breaks or fn returns an error, which
// it returns unchanged. Repeated events are skipped.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64, fn func(CacheEvent) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	target := "http://" + address + "/cache/events?after=" + strconv.FormatUint(after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return peridotusher.FailWith(peridotusher.NotRun, peridotusher.CauseBadRequest, err)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return peridotusher.FailWith(peridotusher.MayHaveRun, service.CauseOf(ctx, peridotusher.CauseEndpointLost), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return peridotusher.Fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, "cache events: status %d", resp.StatusCode)
	}
	idle := time.AfterFunc(c.opts.IdleTimeout, func() { cancel(errIdle) })
	defer idle.Stop()
	events := newEventReader(resp.Body, func() { idle.Reset(c.opts.IdleTimeout) })
	return readCacheEvents(ctx, events, after, fn)
}

// readCacheEvents calls fn with each event, marks gaps in the sequence numbers and
// skips repeated events.
func readCacheEvents(ctx context.Context, events *eventReader, after uint64, fn func(CacheEvent) error) error {
	for {
		raw, err := events.next()
		if err != nil {
			return peridotusher.FailWith(peridotusher.MayHaveRun, service.CauseOf(ctx, peridotusher.CauseEndpointLost), err)
		}
		var data cacheEventData
		if err := json.Unmarshal(raw.data, &data); err != nil {
			return peridotusher.FailWith(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, err)
		}
		if data.Sequence <= after {
			continue
		}
		event := CacheEvent{
			Sequence: data.Sequence,
			Chat:     peridotusher.ChatKey(data.Chat),
			Stored:   data.Stored,
			Tokens:   data.Tokens,
			Gap:      data.Sequence != after+1,
		}
		after = data.Sequence
		events.accept()
		if err := fn(event); err != nil {
			return err
		}
	}
}

// Export returns the engine's cached prefix of a chat.
func (c *Client) Export(ctx context.Context, address string, chat peridotusher.ChatKey) ([]byte, error) {
	return c.call(ctx, address, service.Request{
		Method:     http.MethodPost,
		Path:       "/cache/export",
		Query:      url.Values{"chat": {string(chat)}}.Encode(),
		Idempotent: true,

		AnswerLimit: maxExportBytes,
	})
}

// Import loads a prefix that another engine exported into the engine's cache.
func (c *Client) Import(ctx context.Context, address string, chat peridotusher.ChatKey, blob []byte) error {
	_, err := c.call(ctx, address, service.Request{
		Method:     http.MethodPost,
		Path:       "/cache/import",
		Query:      url.Values{"chat": {string(chat)}}.Encode(),
		Body:       blob,
		Idempotent: true,
	})
	return err
}

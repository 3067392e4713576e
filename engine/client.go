package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher"
	"peridotusher.example/peridotusher/service"
)

// Defaults of Options.
const (
	defaultDialTimeout   = 2 * time.Second
	defaultHeaderTimeout = 30 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

const (
	// maxAnswerBytes is the largest answer to a call, except for an exported prefix.
	maxAnswerBytes = 256 << 10
	// maxExportBytes is the largest exported prefix.
	maxExportBytes = 16 << 20
)

// Options are the settings of a Client. A zero duration takes its default.
type Options struct {
	DialTimeout   time.Duration
	HeaderTimeout time.Duration // wait for the answer's header
	IdleTimeout   time.Duration // longest time without data inside a stream
	Clock         peridotusher.Clock
	Discarded     func(DiscardReason) // called for every discarded event; may be nil
}

// Client calls model engines.
type Client struct {
	opts      Options
	transport http.RoundTripper // opens a connection for each stream, because an idle one may be dead
	plain     *service.Client   // for calls with a single answer
}

// New returns a Client and a function that closes its idle connections.
func New(opts Options) (*Client, func(), error) {
	if opts.Clock == nil {
		return nil, nil, errors.New("engine: Options.Clock is missing")
	}
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.HeaderTimeout == 0 {
		opts.HeaderTimeout = defaultHeaderTimeout
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	plain, closePlain, err := service.New(service.Options{
		DialTimeout:   opts.DialTimeout,
		HeaderTimeout: opts.HeaderTimeout,
		AnswerLimit:   maxAnswerBytes,
	})
	if err != nil {
		return nil, nil, err
	}
	transport := &unpooledTransport{dialTimeout: opts.DialTimeout}
	return &Client{opts: opts, transport: transport, plain: plain}, closePlain, nil
}

// call sends a request with a single answer and returns the body of a success.
func (c *Client) call(ctx context.Context, address string, r service.Request) ([]byte, error) {
	resp, err := c.plain.Call(ctx, address, r)
	if err != nil {
		return nil, err
	}
	if resp.Status != http.StatusOK {
		return nil, peridotusher.Fail(peridotusher.MayHaveRun, peridotusher.CauseEndpointError,
			"%s %s: status %d", r.Method, r.Path, resp.Status)
	}
	return resp.Body, nil
}

// callJSON sends a request and decodes the JSON body of its answer.
func (c *Client) callJSON(ctx context.Context, address string, r service.Request, answer any) error {
	body, err := c.call(ctx, address, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return peridotusher.FailWith(peridotusher.MayHaveRun, peridotusher.CauseEndpointError, err)
	}
	return nil
}

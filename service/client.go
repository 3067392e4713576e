package service

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"peridotusher.example/peridotusher/httphead"
)

// Defaults of Options.
const (
	defaultDialTimeout   = 2 * time.Second
	defaultHeaderTimeout = 30 * time.Second
	defaultIdleTimeout   = 10 * time.Second
	defaultAnswerLimit   = 16 << 20 // bytes
	defaultAnswerMemory  = 32 << 20 // bytes
)

// Options are the settings of a Client. A zero field takes its default.
type Options struct {
	DialTimeout   time.Duration
	HeaderTimeout time.Duration // wait for the answer's header after the request was written
	IdleTimeout   time.Duration // how long an unused connection stays open
	AnswerLimit   int64         // largest answer body in bytes
	AnswerMemory  int64         // limit in bytes of all answers that are being read
}

// Client calls plain services.
type Client struct {
	opts   Options
	dialer net.Dialer
	pooled *httphead.Transport // for idempotent calls only
	memory *answerMemory
}

// New returns a Client and a function that closes its idle connections.
func New(opts Options) (*Client, func(), error) {
	if opts.DialTimeout < 0 || opts.HeaderTimeout < 0 || opts.IdleTimeout < 0 || opts.AnswerLimit < 0 || opts.AnswerMemory < 0 {
		return nil, nil, errors.New("service: negative option")
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
	if opts.AnswerLimit == 0 {
		opts.AnswerLimit = defaultAnswerLimit
	}
	if opts.AnswerMemory == 0 {
		opts.AnswerMemory = defaultAnswerMemory
	}
	c := &Client{opts: opts, dialer: net.Dialer{Timeout: opts.DialTimeout}, memory: newAnswerMemory(opts.AnswerMemory)}
	c.pooled = &httphead.Transport{Base: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.dial(ctx, network, address, nil)
		},
		DisableCompression:    true,
		IdleConnTimeout:       opts.IdleTimeout,
		ResponseHeaderTimeout: opts.HeaderTimeout,

		MaxResponseHeaderBytes: httphead.MaxBytes,
	}}
	return c, c.pooled.CloseIdleConnections, nil
}

// singleUseTransport returns a transport for one call that must not be repeated, and
// the guard of its connection.
func (c *Client) singleUseTransport(check func() error) (*httphead.Transport, *writeGuard) {
	g := &writeGuard{check: check}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.dial(ctx, network, address, g)
		},
		DisableCompression:    true,
		DisableKeepAlives:     true,
		ResponseHeaderTimeout: c.opts.HeaderTimeout,

		MaxResponseHeaderBytes: httphead.MaxBytes,
	}
	return &httphead.Transport{Base: t}, g
}

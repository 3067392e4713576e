package settings

import (
	"time"

	"peridotusher.example/peridotusher/document"
	"peridotusher.example/peridotusher/ini"
)

const (
	maxDuration = 24 * time.Hour
	maxCount    = 1_000_000
)

var routerFields = []ini.Field[Router]{
	{
		Name:     "name",
		Required: true,
		Text:     "Name of the router, unique in the fleet.",
		Value:    ini.Of(ini.Name(), func(r *Router) *string { return &r.name }),
	},
	{
		Name:     "zone",
		Required: true,
		Text:     "Router's availability zone.",
		Value:    ini.Of(ini.Name(), func(r *Router) *string { return &r.zone }),
	},
	{
		Name:    "log",
		Default: "info",
		Text:    "Level of the log.",
		Value:   ini.Of(ini.OneOf("debug", "info", "warn", "error"), func(r *Router) *string { return &r.log }),
	},
	{
		Name:    "settle",
		Default: "2s",
		Text:    "Time that a stopping router stays open until the balancer has noticed.",
		Value:   ini.Of(ini.Duration(0, maxDuration), func(r *Router) *time.Duration { return &r.settle }),
	},
	{
		Name:    "drain",
		Default: "60s",
		Text:    "Longest graceful shutdown.",
		Value:   ini.Of(ini.Duration(0, maxDuration), func(r *Router) *time.Duration { return &r.drain }),
	},
}

var callerFields = []ini.Field[Caller]{
	{
		Name:     "listen",
		Required: true,
		Text:     "Address for callers.",
		Value:    ini.Of(ini.Address(), func(c *Caller) *string { return &c.listen }),
	},
	{
		Name:    "header",
		Default: "16384",
		Text:    "Largest header, in bytes.",
		Value:   ini.Of(ini.Int(1<<10, 1<<20), func(c *Caller) *int { return &c.header }),
	},
	{
		Name:    "body",
		Default: "4194304",
		Text:    "Largest body, in bytes.",
		Value:   ini.Of(ini.Int(1<<10, 1<<30), func(c *Caller) *int { return &c.body }),
	},
	{
		Name:    "concurrent",
		Default: "4096",
		Text:    "Requests in flight at this router.",
		Value:   ini.Of(ini.Int(1, maxCount), func(c *Caller) *int { return &c.concurrent }),
	},
	{
		Name:    "conns",
		Default: "16384",
		Text:    "Open connections of callers at this router.",
		Value:   ini.Of(ini.Int(1, maxCount), func(c *Caller) *int { return &c.conns }),
	},
	{
		Name:    "heads",
		Default: "67108864",
		Text:    "Memory that the headers of all requests take until they are answered, in bytes.",
		Value:   ini.Of(ini.Int(8<<20, 1<<30), func(c *Caller) *int { return &c.heads }),
	},
	{
		Name:    "read",
		Default: "5s",
		Text:    "Time to read a header.",
		Value:   ini.Of(ini.Duration(time.Millisecond, time.Hour), func(c *Caller) *time.Duration { return &c.read }),
	},
	{
		Name:    "bodytime",
		Default: "30s",
		Text:    "Time to read a body.",
		Value:   ini.Of(ini.Duration(time.Millisecond, time.Hour), func(c *Caller) *time.Duration { return &c.bodytime }),
	},
	{
		Name:    "idle",
		Default: "60s",
		Text:    "Time that a connection may be idle between requests.",
		Value:   ini.Of(ini.Duration(time.Millisecond, time.Hour), func(c *Caller) *time.Duration { return &c.idle }),
	},
}

var operatorFields = []ini.Field[Operator]{
	{
		Name:     "listen",
		Required: true,
		Text:     "Address for operators.",
		Value:    ini.Of(ini.Address(), func(o *Operator) *string { return &o.listen }),
	},
	{
		Name:     "key",
		Required: true,
		Secret:   true,
		Text:     "Hash of the key of the operators who may edit every section.",
		Value:    ini.Of(document.KeyHashParser(), func(o *Operator) *string { return &o.key }),
	},
}

var peerFields = []ini.Field[Peer]{
	{
		Name:     "listen",
		Required: true,
		Text:     "Address for other routers.",
		Value:    ini.Of(ini.Address(), func(p *Peer) *string { return &p.listen }),
	},
	{
		Name:     "advertise",
		Required: true,
		Text:     "Address under which other routers reach this one.",
		Value:    ini.Of(ini.Address(), func(p *Peer) *string { return &p.advertise }),
	},
	{
		Name:  "cert",
		Text:  "Path of the certificate. Default: plain TCP.",
		Value: ini.Of(ini.String(), func(p *Peer) *string { return &p.cert }),
	},
	{
		Name:  "key",
		Text:  "Path of the certificate's key.",
		Value: ini.Of(ini.String(), func(p *Peer) *string { return &p.key }),
	},
	{
		Name:  "ca",
		Text:  "Path of the CA certificates that verify the other routers' certificates.",
		Value: ini.Of(ini.String(), func(p *Peer) *string { return &p.ca }),
	},
	{
		Name:    "plain",
		Default: "no",
		Text:    "Whether plain TCP may leave this host.",
		Value:   ini.Of(ini.Bool(), func(p *Peer) *bool { return &p.plain }),
	},
	{
		Name:    "budget",
		Default: "6000",
		Text:    "Control traffic, in bytes per second.",
		Value:   ini.Of(ini.Int(100, 1<<30), func(p *Peer) *int { return &p.budget }),
	},
}

var storeFields = []ini.Field[Store]{
	{
		Name:     "addresses",
		Required: true,
		Text:     "Addresses of the key-value service.",
		Value:    ini.Of(ini.List(ini.Address()), func(s *Store) *[]string { return &s.addresses }),
	},
	{
		Name:    "timeout",
		Default: "2s",
		Text:    "Time to wait for an answer.",
		Value:   ini.Of(ini.Duration(time.Millisecond, time.Hour), func(s *Store) *time.Duration { return &s.timeout }),
	},
	{
		Name:    "prefix",
		Default: "peridotusher",
		Text:    "Prefix of all keys in the store.",
		Value:   ini.Of(ini.Name(), func(s *Store) *string { return &s.prefix }),
	},
}

var hostsFields = []ini.Field[Hosts]{
	{
		Name:     "url",
		Required: true,
		Text:     "Address of the host list.",
		Value:    ini.Of(urlParser(), func(h *Hosts) *string { return &h.url }),
	},
	{
		Name:    "every",
		Default: "2s",
		Text:    "Time between two reads of the host list.",
		Value:   ini.Of(ini.Duration(10*time.Millisecond, time.Hour), func(h *Hosts) *time.Duration { return &h.every }),
	},
}

var weightsFields = []ini.Field[Weights]{
	{
		Name:     "url",
		Required: true,
		Text:     "Address of the weight store.",
		Value:    ini.Of(urlParser(), func(w *Weights) *string { return &w.url }),
	},
}

var streamFields = []ini.Field[Stream]{
	{
		Name:     "secret",
		Required: true,
		Secret:   true,
		Text:     "Secret that signs event ids, the same in the whole fleet.",
		Value:    ini.Of(secretParser(), func(s *Stream) *string { return &s.secret }),
	},
}

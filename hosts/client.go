package hosts

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	defaultInterval = 2 * time.Second
	defaultTimeout  = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	maxListBytes    = 64 << 20
	jitter          = 0.25 // share of the interval by which a pause may differ
)

// direct is the HTTP client of Clients that name none; it uses no proxy.
var direct = &http.Client{Transport: &http.Transport{IdleConnTimeout: idleConnTimeout}}

// Client reads the list. Set its fields before the first call.
type Client struct {
	URL      string
	Interval time.Duration      // mean pause between two reads; 2 s when zero
	Timeout  time.Duration      // limit of one read; 2 s when zero
	Changed  func([]Host)       // gets each list that differs from the one before; Run needs it
	Rand     func() float64     // random numbers in [0, 1); math/rand/v2 when nil
	HTTP     *http.Client       // one without a proxy when nil
	Log      logrus.FieldLogger // the standard logger when nil

	mu   sync.Mutex
	tag  string // of the list that was read last, empty when it had none
	last []Host
}

// targetGroup is the wire type of hosts that share their labels.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// errUnchanged means that the list is still the one of the tag.
var errUnchanged = errors.New("host list unchanged")

// List reads the hosts, sorted by name. Malformed hosts are logged and left
// out. A list that the server says is unchanged is not sent again.
func (c *Client) List(ctx context.Context) ([]Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	groups, tag, err := c.read(ctx, c.tag)
	if errors.Is(err, errUnchanged) {
		return slices.Clone(c.last), nil
	}
	if err != nil {
		return nil, err
	}
	c.tag, c.last = tag, c.hosts(groups)
	return slices.Clone(c.last), nil
}

// hosts returns the well-formed hosts of the groups, by name.
func (c *Client) hosts(groups []targetGroup) []Host {
	var list []Host
	for _, group := range groups {
		for _, target := range group.Targets {
			host, err := NewHost(target, group.Labels)
			if err != nil {
				c.log().WithError(err).Warn("malformed host left out")
				continue
			}
			list = append(list, host)
		}
	}
	slices.SortFunc(list, func(a, b Host) int {
		if n := strings.Compare(a.Name(), b.Name()); n != 0 {
			return n
		}
		return strings.Compare(a.address, b.address)
	})
	return list
}

// read fetches and decodes the list, unless it is still the one of the tag.
// It returns the new list's tag.
func (c *Client) read(ctx context.Context, tag string) ([]targetGroup, string, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL, nil)
	if err != nil {
		return nil, "", errors.Wrap(err, "host list")
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, "", errors.Wrap(err, "host list")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && tag != "" {
		return nil, "", errUnchanged
	}
	if resp.StatusCode != http.StatusOK {
		return nil, "", errors.Newf("host list: status %d", resp.StatusCode)
	}
	var groups []targetGroup
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&groups); err != nil {
		return nil, "", errors.Wrap(err, "host list")
	}
	return groups, resp.Header.Get("ETag"), nil
}

// Run reads the list again and again until ctx is done. A read that fails
// leaves the last list in force.
func (c *Client) Run(ctx context.Context) error {
	var last []Host
	known := false
	for {
		list, err := c.List(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			c.log().WithError(err).Warn("host list not read")
		case err == nil && (!known || !slices.EqualFunc(last, list, Host.Equal)):
			last, known = list, true
			c.Changed(list)
		}
		timer := time.NewTimer(c.pause())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// pause returns the time until the next read.
func (c *Client) pause() time.Duration {
	interval := c.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	random := c.Rand
	if random == nil {
		random = rand.Float64
	}
	factor := 1 - jitter + 2*jitter*random()
	return time.Duration(factor * float64(interval))
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return direct
	}
	return c.HTTP
}

func (c *Client) log() logrus.FieldLogger {
	if c.Log == nil {
		return logrus.StandardLogger()
	}
	return c.Log
}

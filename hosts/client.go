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

	"peridotusher.example/peridotusher/httphead"
)

const (
	defaultInterval = 2 * time.Second
	defaultTimeout  = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	maxListBytes    = 64 << 20
	jitter          = 0.25 // largest deviation of a pause from the interval, as a share of the interval
)

// defaultHTTPClient is used if Client.HTTP is nil. It uses no proxy.
var defaultHTTPClient = &http.Client{Transport: &httphead.Transport{Base: &http.Transport{
	IdleConnTimeout:        idleConnTimeout,
	MaxResponseHeaderBytes: httphead.MaxBytes,
}}}

// Client reads the host list. Set its fields before the first call.
type Client struct {
	URL      string
	Interval time.Duration      // mean pause between two reads; 2 s when zero
	Timeout  time.Duration      // time limit of one read; 2 s when zero
	Changed  func([]Host)       // called by Run, which requires it, with the first list and each changed one
	Rand     func() float64     // random numbers in [0, 1); math/rand/v2 when nil
	HTTP     *http.Client       // a client without a proxy when nil
	Log      logrus.FieldLogger // the standard logger when nil

	mu       sync.Mutex
	etag     string // ETag of lastList, empty if the server sent none
	lastList []Host
}

// targetGroup is the JSON of a group of hosts with the same labels.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// errUnchanged means that the list still has the ETag of the last read.
var errUnchanged = errors.New("host list unchanged")

// List reads the hosts, sorted by name. Malformed hosts and groups are logged and
// skipped. The request is conditional on the last list's ETag, so that an unchanged list is not
// transferred again.
func (c *Client) List(ctx context.Context) ([]Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	groups, etag, err := c.fetch(ctx, c.etag)
	if errors.Is(err, errUnchanged) {
		return slices.Clone(c.lastList), nil
	}
	if err != nil {
		return nil, err
	}
	c.etag, c.lastList = etag, c.parseHosts(groups)
	return slices.Clone(c.lastList), nil
}

// parseHosts returns the well-formed hosts of the groups, sorted by name.
func (c *Client) parseHosts(groups []targetGroup) []Host {
	var list []Host
	for _, group := range groups {
		for _, target := range group.Targets {
			host, err := NewHost(target, group.Labels)
			if err != nil {
				c.log().WithError(err).Warn("ignoring malformed host")
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

// fetch requests and decodes the list and returns it with its ETag. It returns
// errUnchanged if the list still has the given ETag.
func (c *Client) fetch(ctx context.Context, etag string) ([]targetGroup, string, error) {
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
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.client().Do(req)
	if err != nil {
		return nil, "", errors.Wrap(err, "host list")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return nil, "", errUnchanged
	}
	if resp.StatusCode != http.StatusOK {
		return nil, "", errors.Newf("host list: status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, "", errors.Wrap(err, "host list")
	}
	groups, err := c.decodeGroups(data)
	if err != nil {
		return nil, "", errors.Wrap(err, "host list")
	}
	return groups, resp.Header.Get("ETag"), nil
}

// decodeGroups decodes the groups of a list. Malformed groups are logged and skipped.
func (c *Client) decodeGroups(data []byte) ([]targetGroup, error) {
	elements, err := splitArray(data)
	if err != nil {
		return nil, err
	}
	groups := make([]targetGroup, 0, len(elements))
	for _, element := range elements {
		var group targetGroup
		if err := json.Unmarshal(element, &group); err != nil {
			c.log().WithError(err).Warn("ignoring malformed group of hosts")
			continue
		}
		groups = append(groups, group)
	}
	return groups, nil
}

// Run reads the list periodically until ctx is done and calls Changed with each new
// list. After a failed read the last list stays valid.
func (c *Client) Run(ctx context.Context) error {
	var last []Host
	hasList := false
	for {
		list, err := c.List(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			c.log().WithError(err).Warn("cannot read the host list")
		case err == nil && (!hasList || !slices.EqualFunc(last, list, Host.Equal)):
			last, hasList = list, true
			c.Changed(list)
		}
		timer := time.NewTimer(c.nextInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// nextInterval returns the time until the next read: the interval with random jitter.
func (c *Client) nextInterval() time.Duration {
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
		return defaultHTTPClient
	}
	return c.HTTP
}

func (c *Client) log() logrus.FieldLogger {
	if c.Log == nil {
		return logrus.StandardLogger()
	}
	return c.Log
}

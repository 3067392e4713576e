package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"peridotusher.example/peridotusher/httphead"
)

const (
	defaultTimeout = 5 * time.Second
	maxBodyBytes   = 64 << 20
	gatherWorkers  = 32
)

// errNoRouters means that the client has no router to ask.
var errNoRouters = errors.New("no router to ask")

// ErrNotFound means that no router knows the named router, engine, organisation, model or class.
var ErrNotFound = errors.New("not found")

// defaultHTTPClient is used by Clients whose HTTP field is nil. It uses no proxy.
var defaultHTTPClient = &http.Client{Transport: &httphead.Transport{Base: &http.Transport{
	IdleConnTimeout:        30 * time.Second,
	MaxResponseHeaderBytes: httphead.MaxBytes,
}}}

// Client queries the routers of a fleet.
type Client struct {
	Routers []string // operator addresses as host:port; one reachable router is enough
	Key     string
	Timeout time.Duration // for each call; 5 s if zero
	HTTP    *http.Client  // a client without a proxy if nil
}

// answer is one router's response, or the error of the call.
type answer[T any] struct {
	router routerBody
	body   T
	err    error
}

// listRouters returns all routers that the first reachable router knows, itself included.
func (c *Client) listRouters(ctx context.Context) ([]routerBody, error) {
	var failed error
	for _, address := range c.Routers {
		var body routersBody
		err := c.call(ctx, http.MethodGet, address, "/v1/routers", &body)
		if err == nil {
			return body.Routers, nil
		}
		failed = errors.CombineErrors(failed, errors.Wrapf(err, "router at %s", address))
	}
	if failed == nil {
		return nil, errors.New("name at least one router's address for operators")
	}
	return nil, failed
}

// gather queries every router of the fleet. A router without an address gets an error as its answer.
func gather[T any](ctx context.Context, c *Client, path string) ([]answer[T], error) {
	routers, err := c.listRouters(ctx)
	if err != nil {
		return nil, err
	}
	answers := make([]answer[T], len(routers))
	var group errgroup.Group
	group.SetLimit(gatherWorkers)
	for i, r := range routers {
		group.Go(func() error {
			answers[i] = queryRouter[T](ctx, c, r, path)
			return nil
		})
	}
	// The workers report their errors in the answers.
	_ = group.Wait()
	return answers, nil
}

func queryRouter[T any](ctx context.Context, c *Client, r routerBody, path string) answer[T] {
	a := answer[T]{router: r}
	if r.Address == "" {
		a.err = errors.Newf("router %s is %s and cannot be reached", r.Router, r.State)
		return a
	}
	a.err = c.call(ctx, http.MethodGet, r.Address, path, &a.body)
	return a
}

// call sends one request and decodes the JSON response into out.
func (c *Client) call(ctx context.Context, method, address, path string, out any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, method, address+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	client := c.HTTP
	if client == nil {
		client = defaultHTTPClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxBodyBytes)
	if resp.StatusCode >= http.StatusBadRequest {
		return answerError(resp.StatusCode, body)
	}
	return json.NewDecoder(body).Decode(out)
}

func answerError(status int, body io.Reader) error {
	var e errorBody
	// If the body isn't an errorBody, the error has the status alone.
	_ = json.NewDecoder(body).Decode(&e)
	if status == http.StatusNotFound {
		return errors.Wrap(ErrNotFound, e.Error)
	}
	return errors.Newf("status %d: %s", status, e.Error)
}

// DrainRouter starts the graceful shutdown of the named router.
func (c *Client) DrainRouter(ctx context.Context, name string) error {
	routers, err := c.listRouters(ctx)
	if err != nil {
		return err
	}
	for _, r := range routers {
		if r.Router != name {
			continue
		}
		if r.Address == "" {
			return errors.Newf("router %s is %s and cannot be reached", name, r.State)
		}
		var body drainBody
		return c.call(ctx, http.MethodPost, r.Address, "/v1/drain", &body)
	}
	return errors.Wrapf(ErrNotFound, "no router %s", name)
}

// DrainEngine asks every router to send the engine no new work. It returns the routers
// that accepted, and an error that names those that failed or can't be reached.
func (c *Client) DrainEngine(ctx context.Context, name string) ([]string, error) {
	routers, err := c.listRouters(ctx)
	if err != nil {
		return nil, err
	}
	var accepted, failed []string
	unknown := 0
	for _, r := range routers {
		var body drainBody
		err := errors.New("cannot be reached")
		if r.Address != "" {
			err = c.call(ctx, http.MethodPost, r.Address, "/v1/engines/"+url.PathEscape(name)+"/drain", &body)
		}
		switch {
		case err == nil:
			accepted = append(accepted, r.Router)
		case errors.Is(err, ErrNotFound):
			unknown++
		default:
			failed = append(failed, r.Router+" "+err.Error())
		}
	}
	if len(accepted) == 0 && unknown > 0 {
		return nil, errors.Wrapf(ErrNotFound, "no router or engine %s", name)
	}
	if len(failed) > 0 {
		return accepted, errors.Newf("%s", strings.Join(failed, "; "))
	}
	return accepted, nil
}

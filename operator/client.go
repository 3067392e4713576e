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
)

const (
	defaultTimeout = 5 * time.Second
	maxBodyBytes   = 64 << 20
	gatherWorkers  = 32
)

// ErrNotFound means that the routers know nothing of the name.
var ErrNotFound = errors.New("not found")

// direct is the HTTP client of Clients that name none; it uses no proxy.
var direct = &http.Client{Transport: &http.Transport{IdleConnTimeout: 30 * time.Second}}

// Client asks the routers of a fleet.
type Client struct {
	Routers []string // addresses for operators, as host:port; one that answers is enough
	Key     string
	Timeout time.Duration // limit of one answer; 5 s when zero
	HTTP    *http.Client  // one without a proxy when nil
}

// answer is what one router said, or why it said nothing.
type answer[T any] struct {
	router routerBody
	body   T
	err    error
}

// list asks the first router that answers for all the others.
func (c *Client) list(ctx context.Context) ([]routerBody, error) {
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

// gather asks every router that has an address.
func gather[T any](ctx context.Context, c *Client, path string) ([]answer[T], error) {
	routers, err := c.list(ctx)
	if err != nil {
		return nil, err
	}
	answers := make([]answer[T], len(routers))
	var group errgroup.Group
	group.SetLimit(gatherWorkers)
	for i, r := range routers {
		group.Go(func() error {
			answers[i] = ask[T](ctx, c, r, path)
			return nil
		})
	}
	// The workers report their errors in the answers.
	_ = group.Wait()
	return answers, nil
}

func ask[T any](ctx context.Context, c *Client, r routerBody, path string) answer[T] {
	a := answer[T]{router: r}
	if r.Address == "" {
		a.err = errors.Newf("router %s is %s and cannot be reached", r.Router, r.State)
		return a
	}
	a.err = c.call(ctx, http.MethodGet, r.Address, path, &a.body)
	return a
}

// call sends one request and decodes its answer.
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
		client = direct
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
	// A body of another form leaves the message empty; the status decides then.
	_ = json.NewDecoder(body).Decode(&e)
	if status == http.StatusNotFound {
		return errors.Wrap(ErrNotFound, e.Error)
	}
	return errors.Newf("status %d: %s", status, e.Error)
}

// DrainRouter tells the named router to stop gracefully.
func (c *Client) DrainRouter(ctx context.Context, name string) error {
	routers, err := c.list(ctx)
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

// DrainEngine tells every router to give the engine no new work. It returns
// the routers that were told and the error of those that were not.
func (c *Client) DrainEngine(ctx context.Context, name string) ([]string, error) {
	routers, err := c.list(ctx)
	if err != nil {
		return nil, err
	}
	var told, failed []string
	unknown := 0
	for _, r := range routers {
		var body drainBody
		err := errors.New("cannot be reached")
		if r.Address != "" {
			err = c.call(ctx, http.MethodPost, r.Address, "/v1/engines/"+url.PathEscape(name)+"/drain", &body)
		}
		switch {
		case err == nil:
			told = append(told, r.Router)
		case errors.Is(err, ErrNotFound):
			unknown++
		default:
			failed = append(failed, r.Router+" "+err.Error())
		}
	}
	if len(told) == 0 && unknown > 0 {
		return nil, errors.Wrapf(ErrNotFound, "no router or engine %s", name)
	}
	if len(failed) > 0 {
		return told, errors.Newf("%s", strings.Join(failed, "; "))
	}
	return told, nil
}

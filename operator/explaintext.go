package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Explanation describes where a chat is routed and why.
type Explanation struct {
	body explainBody
}

// Explain returns where a chat is routed and why. It prefers the answer of the router that
// owns the chat's home engine, because that router remembers which engine holds the chat's
// prefix, and falls back to the first reachable router. An empty class means the
// organisation's default.
func (c *Client) Explain(ctx context.Context, organisation, model, chat, class string) (*Explanation, error) {
	e, err := c.explain(ctx, organisation, model, chat, class)
	if err != nil || len(e.body.Ranking) == 0 || e.body.Ranking[0].Owner == e.body.Router {
		return e, err
	}
	routers, err := c.listRouters(ctx)
	if err != nil {
		return e, nil
	}
	for _, r := range routers {
		if r.Router != e.body.Ranking[0].Owner || r.Address == "" {
			continue
		}
		owner := &Client{Routers: []string{r.Address}, Key: c.Key, Timeout: c.Timeout, HTTP: c.HTTP}
		if better, err := owner.explain(ctx, organisation, model, chat, class); err == nil {
			return better, nil
		}
	}
	return e, nil
}

// explain queries the first reachable router.
func (c *Client) explain(ctx context.Context, organisation, model, chat, class string) (*Explanation, error) {
	if len(c.Routers) == 0 {
		return nil, errNoRouters
	}
	query := url.Values{"org": {organisation}, "model": {model}, "chat": {chat}, "class": {class}}
	var failed error
	for _, address := range c.Routers {
		e := &Explanation{}
		err := c.call(ctx, http.MethodGet, address, "/v1/explain?"+query.Encode(), &e.body)
		if err == nil {
			return e, nil
		}
		if errors.Is(err, ErrNotFound) {
			return nil, err
		}
		failed = errors.CombineErrors(failed, err)
	}
	return nil, failed
}

// MarshalJSON implements json.Marshaler.
func (e *Explanation) MarshalJSON() ([]byte, error) { return json.Marshal(e.body) }

// Text writes the explanation as a table.
func (e *Explanation) Text(w io.Writer) error {
	b := e.body
	fmt.Fprintf(w, "chat %q of %s on model %s, class %s, as %s sees it at revision %d\n", b.Chat, b.Organisation, b.Model, b.Class, b.Router, b.Revision)
	fmt.Fprintf(w, "version %s: the chat's hash falls into its share\n", valueOrDash(b.Version))
	if b.Rule == "" {
		fmt.Fprintln(w, "no rule matches: every live engine of the model may serve it")
	} else {
		fmt.Fprintf(w, "rule %s is the first that matches\n", b.Rule)
	}
	if b.PrefixEngine != "" {
		fmt.Fprintf(w, "its prefix is remembered at %s, which is asked first\n", b.PrefixEngine)
	}
	if b.Refusal != "" {
		fmt.Fprintf(w, "it is refused: %s\n", b.Refusal)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "RANK\tENGINE\tZONE\tOWNER\tWORK\tLIMIT\tWHY")
	target := b.target()
	for i, r := range b.Ranking {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\t%d\t%s\n", i+1, r.Engine, r.Zone, r.Owner, r.Work, r.Limit, r.reason(target))
	}
	for _, x := range b.Excluded {
		fmt.Fprintf(t, "-\t%s\t\t\t\t\t%s\n", x.Engine, x.Reason)
	}
	return t.Flush()
}

// target returns the engine that the chat is routed to: the one that holds its prefix if it
// has capacity, else the first of the ranking that has. It is empty if none has capacity.
func (b explainBody) target() string {
	first := ""
	for _, r := range b.Ranking {
		if r.HasCapacity && r.Engine == b.PrefixEngine {
			return r.Engine
		}
		if r.HasCapacity && first == "" {
			first = r.Engine
		}
	}
	return first
}

// reason returns the text of the column WHY.
func (r rankedBody) reason(target string) string {
	switch {
	case r.Engine == target:
		return "goes here"
	case r.HasCapacity:
		return "has room"
	default:
		return "full"
	}
}

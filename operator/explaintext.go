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

// Explanation says where a chat goes and why.
type Explanation struct {
	body explainBody
}

// Explain asks where a chat goes. The owner of the chat's home engine answers
// if it can be reached, else the first router that does. An empty class is the
// organisation's default.
func (c *Client) Explain(ctx context.Context, organisation, model, chat, class string) (*Explanation, error) {
	e, err := c.explain(ctx, organisation, model, chat, class)
	if err != nil || len(e.body.Ranking) == 0 || e.body.Ranking[0].Owner == e.body.Router {
		return e, err
	}
	routers, err := c.list(ctx)
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

// explain asks the first router that answers.
func (c *Client) explain(ctx context.Context, organisation, model, chat, class string) (*Explanation, error) {
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
	fmt.Fprintf(w, "version %s: the chat's hash falls into its share\n", orDash(b.Version))
	if b.Rule == "" {
		fmt.Fprintln(w, "no rule matches: every live engine of the model may serve it")
	} else {
		fmt.Fprintf(w, "rule %s is the first that matches\n", b.Rule)
	}
	if b.Placed != "" {
		fmt.Fprintf(w, "its prefix is remembered at %s, which is asked first\n", b.Placed)
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

// target returns the engine that the chat goes to: the one that holds its
// prefix, else the first with room. It is empty if none has room.
func (b explainBody) target() string {
	first := ""
	for _, r := range b.Ranking {
		if r.Room && r.Engine == b.Placed {
			return r.Engine
		}
		if r.Room && first == "" {
			first = r.Engine
		}
	}
	return first
}

// reason says why the chat goes to the engine or not.
func (r rankedBody) reason(target string) string {
	switch {
	case r.Engine == target:
		return "goes here"
	case r.Room:
		return "has room"
	default:
		return "full"
	}
}

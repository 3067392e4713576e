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

// Explain asks the first router that answers where a chat goes. An empty class
// is the organisation's default.
func (c *Client) Explain(ctx context.Context, organisation, model, chat, class string) (*Explanation, error) {
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
	if b.Refusal != "" {
		fmt.Fprintf(w, "it is refused: %s\n", b.Refusal)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "RANK\tENGINE\tZONE\tOWNER\tWORK\tLIMIT\tWHY")
	first := true
	for i, r := range b.Ranking {
		why := "full: the next one is asked"
		if r.Room && first {
			why = "goes here: the first with room"
			first = false
		} else if r.Room {
			why = "has room"
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\t%d\t%s\n", i+1, r.Engine, r.Zone, r.Owner, r.Work, r.Limit, why)
	}
	for _, x := range b.Excluded {
		fmt.Fprintf(t, "-\t%s\t\t\t\t\t%s\n", x.Engine, x.Reason)
	}
	return t.Flush()
}

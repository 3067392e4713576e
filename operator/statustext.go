package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Status holds the views of all routers and where they disagree.
type Status struct {
	body fleetBody
}

// fleetBody is the JSON form of a Status.
type fleetBody struct {
	Routers       []statusBody `json:"routers"`
	Silent        []silentBody `json:"silent,omitempty"`
	Disagreements []string     `json:"disagreements,omitempty"`
}

// silentBody is a router that did not answer.
type silentBody struct {
	Router string `json:"router"`
	Zone   string `json:"zone"`
	State  string `json:"state"`
	Error  string `json:"error"`
}

// Status queries every router for its view.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	answers, err := gather[statusBody](ctx, c, "/v1/status")
	if err != nil {
		return nil, err
	}
	s := &Status{}
	for _, a := range answers {
		if a.err != nil {
			s.body.Silent = append(s.body.Silent, newSilentBody(a.router, a.err))
			continue
		}
		s.body.Routers = append(s.body.Routers, a.body)
	}
	s.body.Disagreements = disagreements(s.body.Routers)
	return s, nil
}

func newSilentBody(r routerBody, err error) silentBody {
	return silentBody{Router: r.Router, Zone: r.Zone, State: r.State, Error: err.Error()}
}

// Healthy reports whether every router answered and all agree.
func (s *Status) Healthy() bool {
	return len(s.body.Silent) == 0 && len(s.body.Disagreements) == 0
}

// MarshalJSON implements json.Marshaler.
func (s *Status) MarshalJSON() ([]byte, error) { return json.Marshal(s.body) }

// disagreements describes each difference between the routers' views: in the configuration
// revision, the members that are not live, and the engines' owners.
func disagreements(routers []statusBody) []string {
	var found []string
	revisions := map[string][]string{}
	members := map[string][]string{}
	owners := map[string]map[string][]string{}
	for _, r := range routers {
		revision := fmt.Sprint(r.Revision)
		revisions[revision] = append(revisions[revision], r.Router)
		view := describeNonLive(r.Routers)
		members[view] = append(members[view], r.Router)
		for _, e := range r.Engines {
			if owners[e.Engine] == nil {
				owners[e.Engine] = map[string][]string{}
			}
			owners[e.Engine][e.Owner] = append(owners[e.Engine][e.Owner], r.Router)
		}
	}
	found = append(found, describeDifference("configuration revision", revisions)...)
	found = append(found, describeDifference("routers that are not live", members)...)
	for _, engine := range slices.Sorted(maps.Keys(owners)) {
		found = append(found, describeDifference("owner of "+engine, owners[engine])...)
	}
	return found
}

// describeNonLive returns the members that are not live and their states as one string.
func describeNonLive(members []memberBody) string {
	var parts []string
	for _, m := range members {
		if m.State != "live" {
			parts = append(parts, m.Router+" "+m.State)
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// describeDifference returns one line if byValue, the routers by the value they have, has several values.
func describeDifference(what string, byValue map[string][]string) []string {
	if len(byValue) < 2 {
		return nil
	}
	var parts []string
	for _, value := range slices.Sorted(maps.Keys(byValue)) {
		parts = append(parts, fmt.Sprintf("%s at %s", value, strings.Join(byValue[value], " ")))
	}
	return []string{what + ": " + strings.Join(parts, "; ")}
}

// Text writes the status as tables.
func (s *Status) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ROUTER\tZONE\tSTATE\tUPTIME\tREVISION\tIN FLIGHT\tOWNS")
	for _, r := range s.body.Routers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", r.Router, r.Zone, ownState(r), seconds(r.Uptime), r.Revision, r.InFlight, ownedEngines(r))
	}
	for _, r := range s.body.Silent {
		fmt.Fprintf(t, "%s\t%s\t%s\t-\t-\t-\t-\n", r.Router, r.Zone, "no answer ("+r.State+")")
	}
	fmt.Fprintln(t, "\nENGINE\tZONE\tSTATE\tOWNER\tDEPUTY\tWORK\tLIMIT\tWEIGHT\tMODEL\tVERSION")
	for _, e := range s.engines() {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%g\t%s\t%s\n", e.Engine, e.Zone, e.State, e.Owner, valueOrDash(e.Deputy), e.Work, e.Limit, e.Weight, valueOrDash(e.Model), valueOrDash(e.Version))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	for _, d := range s.body.Disagreements {
		fmt.Fprintf(w, "routers disagree on %s\n", d)
	}
	for _, r := range s.body.Silent {
		fmt.Fprintf(w, "router %s gave no answer: %s\n", r.Router, r.Error)
	}
	if s.Healthy() {
		fmt.Fprintf(w, "all %d routers answered and agree\n", len(s.body.Routers))
	}
	return nil
}

// engines returns each engine as its owner sees it, or as another router does if the owner
// did not answer.
func (s *Status) engines() []engineBody {
	byName := map[string]engineBody{}
	for _, r := range s.body.Routers {
		for _, e := range r.Engines {
			if _, known := byName[e.Engine]; !known || e.Owner == r.Router {
				byName[e.Engine] = e
			}
		}
	}
	var all []engineBody
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		all = append(all, byName[name])
	}
	return all
}

// ownState returns the state that the router reports for itself.
func ownState(r statusBody) string {
	for _, m := range r.Routers {
		if m.Router == r.Router {
			return m.State
		}
	}
	return "unknown"
}

func ownedEngines(r statusBody) int {
	n := 0
	for _, e := range r.Engines {
		if e.Owner == r.Router {
			n++
		}
	}
	return n
}

func seconds(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Second).String()
}

func valueOrDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

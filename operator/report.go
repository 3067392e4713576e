package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"peridotusher.example/peridotusher"
)

// maxReported is the maximum number of organisations in a table or on the page.
const maxReported = 20

// Report holds the error-budget burn of a fleet, merged from the counts of its routers.
type Report struct {
	merged  peridotusher.BurnReport
	routers []shareBody
}

// shareBody describes one router's contribution to the report.
type shareBody struct {
	Router   string    `json:"router"`
	Zone     string    `json:"zone"`
	State    string    `json:"state"`
	Requests float64   `json:"requests"` // in the longest window
	Started  time.Time `json:"started"`
	Missing  string    `json:"missing,omitempty"` // error for which the report lacks its counts, empty if it has them
}

// reportBody is the JSON form of a Report.
type reportBody struct {
	At       time.Time       `json:"at"`
	Complete bool            `json:"complete"`
	Windows  []string        `json:"windows"`
	Rows     []reportRowBody `json:"rows"`
	Routers  []shareBody     `json:"routers"`
}

type reportRowBody struct {
	burnRowBody
	Rates  []float64 `json:"rates"` // burn rate in each window
	Spent  float64   `json:"spent"` // fraction of the error budget of 30 days
	Alarms []string  `json:"alarms,omitempty"`
}

// Report queries every router for its counts and merges them.
func (c *Client) Report(ctx context.Context) (*Report, error) {
	answers, err := gather[burnBody](ctx, c, "/v1/burn")
	if err != nil {
		return nil, err
	}
	r := &Report{}
	var reports []peridotusher.BurnReport
	for _, a := range answers {
		share := shareBody{Router: a.router.Router, Zone: a.router.Zone, State: a.router.State}
		if a.err != nil {
			share.Missing = a.err.Error()
			r.routers = append(r.routers, share)
			continue
		}
		one := burnFromWire(a.body)
		reports = append(reports, one)
		share.Started = one.Started
		share.Requests = requestCount(one)
		r.routers = append(r.routers, share)
	}
	r.merged = peridotusher.MergeBurn(reports)
	return r, nil
}

// requestCount returns the number of requests of all classes in the longest window.
func requestCount(r peridotusher.BurnReport) float64 {
	var sum float64
	for _, row := range r.Rows {
		if row.Key.Organisation == "" {
			sum += row.Windows[len(row.Windows)-1].Requests
		}
	}
	return sum
}

// missing returns the routers whose counts are not in the report.
func (r *Report) missing() []shareBody {
	return slices.DeleteFunc(slices.Clone(r.routers), func(s shareBody) bool { return s.Missing == "" })
}

// Complete reports whether every router answered.
func (r *Report) Complete() bool { return len(r.missing()) == 0 }

// Alarmed reports whether any row raises an alarm.
func (r *Report) Alarmed() bool {
	return slices.ContainsFunc(r.merged.Rows, func(row peridotusher.BurnRow) bool { return len(row.Alarms()) > 0 })
}

// MarshalJSON implements json.Marshaler.
func (r *Report) MarshalJSON() ([]byte, error) {
	body := reportBody{At: r.merged.At, Complete: r.Complete(), Routers: r.routers}
	for _, w := range peridotusher.BurnWindows() {
		body.Windows = append(body.Windows, w.String())
	}
	wire := burnToWire("", r.merged)
	for i, row := range r.merged.Rows {
		out := reportRowBody{burnRowBody: wire.Rows[i], Spent: row.Spent(), Alarms: row.Alarms()}
		for _, c := range row.Windows {
			out.Rates = append(out.Rates, c.Rate(row.Objective))
		}
		body.Rows = append(body.Rows, out)
	}
	return json.Marshal(body)
}

// classes returns the rows of classes over all organisations.
func (r *Report) classes() []peridotusher.BurnRow {
	return slices.DeleteFunc(slices.Clone(r.merged.Rows), func(row peridotusher.BurnRow) bool { return row.Key.Organisation != "" })
}

// organisations returns the rows of single organisations that spent the most of their error
// budget, at most maxReported, and the number of rows omitted.
func (r *Report) organisations() ([]peridotusher.BurnRow, int) {
	rows := slices.DeleteFunc(slices.Clone(r.merged.Rows), func(row peridotusher.BurnRow) bool { return row.Key.Organisation == "" })
	slices.SortStableFunc(rows, func(a, b peridotusher.BurnRow) int {
		switch {
		case a.Spent() > b.Spent():
			return -1
		case a.Spent() < b.Spent():
			return 1
		}
		return 0
	})
	shown := min(len(rows), maxReported)
	return rows[:shown], len(rows) - shown
}

// Text writes the report as tables.
func (r *Report) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tORGANISATION\tOBJECTIVE\tREQUESTS 6h\tATTAINED 6h\tBURN 5m\t30m\t1h\t6h\tBUDGET SPENT\tALARM")
	for _, row := range r.classes() {
		writeRow(t, row)
	}
	rows, more := r.organisations()
	for _, row := range rows {
		writeRow(t, row)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if more > 0 {
		fmt.Fprintf(w, "and %d more organisations that spent less\n", more)
	}
	for _, note := range r.notes() {
		fmt.Fprintln(w, note)
	}
	return nil
}

func writeRow(w io.Writer, row peridotusher.BurnRow) {
	longest := row.Windows[len(row.Windows)-1]
	organisation := row.Key.Organisation
	if organisation == "" {
		organisation = "all"
	}
	fmt.Fprintf(w, "%s\t%s\t%.2f%%\t%.0f\t%.3f%%", row.Key.Class, organisation, 100*row.Objective, longest.Requests, 100*longest.Attained())
	for _, c := range row.Windows {
		fmt.Fprintf(w, "\t%.2f", c.Rate(row.Objective))
	}
	fmt.Fprintf(w, "\t%.2f%%\t%s\n", 100*row.Spent(), valueOrDash(strings.Join(row.Alarms(), " ")))
}

// notes describes which counts the report lacks: those of routers that didn't answer, and
// those from before a restart within the longest window.
func (r *Report) notes() []string {
	var notes []string
	answered := len(r.routers) - len(r.missing())
	for _, s := range r.missing() {
		notes = append(notes, fmt.Sprintf("MISSING: router %s (%s): %s", s.Router, s.State, s.Missing))
	}
	if len(r.missing()) > 0 {
		notes = append(notes, fmt.Sprintf("The figures hold the counts of %d of %d routers. What the others counted is not in them; with an even balancer that is about %.0f%% of the requests.",
			answered, len(r.routers), 100*float64(len(r.missing()))/float64(len(r.routers))))
	}
	windows := peridotusher.BurnWindows()
	longest := windows[len(windows)-1]
	recentlyStarted := 0
	for _, s := range r.routers {
		if s.Missing == "" && r.merged.At.Sub(s.Started) < longest {
			recentlyStarted++
		}
	}
	if recentlyStarted > 0 {
		notes = append(notes, fmt.Sprintf("%d of %d routers have counted for less than %s, the youngest since %s. What ran before on those hosts is not in the figures.",
			recentlyStarted, answered, shortDuration(longest), r.merged.Started.UTC().Format(time.RFC3339)))
	}
	return notes
}

// handleReport sends the fleet's report as an HTML page, or as JSON with format=json.
func (s *Server) handleReport(w http.ResponseWriter, r *http.Request) {
	client := &Client{Routers: []string{s.address()}, Key: operatorKey(r)}
	report, err := client.Report(r.Context())
	if err != nil {
		writeError(w, http.StatusBadGateway, err.Error())
		return
	}
	if r.URL.Query().Get("format") == "json" {
		writeJSON(w, http.StatusOK, report)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	// An error means that the operator disconnected.
	_ = report.HTML(w)
}

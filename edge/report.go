package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"peridotusher.example/peridotusher"
)

// maxBurnSeries limits the series of the error budget report, which take about 5 KB each.
const maxBurnSeries = 256

// metricsHandler serves the metrics and, at /report, the error budget report.
func (r *Router) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		r.metricSet.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
		writeBurnRates(w, r.burn.Report())
		r.writeEvacuations(w)
	})
	mux.HandleFunc("/report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if err := writeReport(w, r.startedAt, r.burn.Report()); err != nil {
			r.Log.Event("report", "error", err)
		}
	})
	return mux
}

// writeBurnRates writes the burn rate of each series' error budget by window: 1 spends the budget
// evenly.
func writeBurnRates(w io.Writer, report peridotusher.BurnReport) {
	for _, row := range report.Rows {
		for _, window := range peridotusher.BurnWindows() {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("peridotusher_burn_rate{route=%q,organisation=%q,window=%q}",
				row.Key.Class, row.Key.Organisation, window), row.Window(window).Rate(row.Objective))
		}
	}
}

// writeReport writes the report as a table: first the routes in total, then by organisation.
func writeReport(w io.Writer, started time.Time, report peridotusher.BurnReport) error {
	windows := peridotusher.BurnWindows()
	longest := windows[len(windows)-1]
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "since %s, last %v\n", started.UTC().Format("2006-01-02 15:04:05"), longest)
	fmt.Fprintln(t, "route\torganisation\trequests\tin time\tobjective\tbudget of 30 days spent\talarms")
	for _, row := range report.Rows {
		count := row.Window(longest)
		organisation := row.Key.Organisation
		if organisation == "" {
			organisation = "all"
		}
		fmt.Fprintf(t, "%s\t%s\t%.0f\t%.4f\t%g\t%.5f\t%s\n", row.Key.Class, organisation, count.Requests,
			count.Attained(), row.Objective, row.Spent(), strings.Join(row.Alarms(), ","))
	}
	return t.Flush()
}

package operator

import (
	_ "embed" // for page.html
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"peridotusher.example/peridotusher"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("report").Parse(pageText))

// pageData is the data of the template page.html.
type pageData struct {
	At            string
	Complete      bool
	Notes         []string
	Classes       []pageRow
	Organisations []pageRow
	More          int
	Routers       []shareBody
	Windows       []string
}

// pageRow is one row of a table: a class, or an organisation within a class.
type pageRow struct {
	Class        string
	Organisation string
	Objective    string
	Requests     string
	Attained     string
	Rates        []string
	Spent        string
	Alarms       string
	Plot         *plot
}

// HTML writes the report as a self-contained page, which loads nothing from the network.
func (r *Report) HTML(w io.Writer) error {
	rows, more := r.organisations()
	data := pageData{
		At:            r.merged.At.UTC().Format("2006-01-02 15:04:05 MST"),
		Complete:      r.Complete(),
		Notes:         r.notes(),
		Classes:       pageRows(r.classes()),
		Organisations: pageRows(rows),
		More:          more,
		Routers:       r.routers,
	}
	for _, d := range peridotusher.BurnWindows() {
		data.Windows = append(data.Windows, shortDuration(d))
	}
	return page.Execute(w, data)
}

func pageRows(rows []peridotusher.BurnRow) []pageRow {
	var all []pageRow
	for _, row := range rows {
		longest := row.Windows[len(row.Windows)-1]
		p := pageRow{
			Class:        row.Key.Class,
			Organisation: row.Key.Organisation,
			Objective:    fmt.Sprintf("%.2f%%", 100*row.Objective),
			Requests:     fmt.Sprintf("%.0f", longest.Requests),
			Attained:     fmt.Sprintf("%.3f%%", 100*longest.Attained()),
			Spent:        fmt.Sprintf("%.2f%%", 100*row.Spent()),
			Alarms:       strings.Join(row.Alarms(), ", "),
		}
		for _, c := range row.Windows {
			p.Rates = append(p.Rates, fmt.Sprintf("%.2f", c.Rate(row.Objective)))
		}
		if len(row.History) > 0 {
			p.Plot = newPlot(row)
		}
		all = append(all, p)
	}
	return all
}

// The plot's area in SVG view box units.
const (
	plotLeft   = 44.0
	plotTop    = 12.0
	plotWidth  = 600.0
	plotHeight = 150.0
	plotTicks  = 6
)

// plot shows a class's burn rate over time, with a horizontal line at the threshold of each
// pair of alarm windows.
type plot struct {
	Line   string // points of the burn rate, for an SVG polyline
	Dots   []plotDot
	Bars   []plotBar // requests
	Levels []plotLevel
	Ticks  []plotTick
	Most   string // requests in the busiest bucket
}

type plotDot struct{ X, Y float64 }

type plotBar struct{ X, Y, Width, Height float64 }

type plotLevel struct {
	Y    float64
	Text string
	Pair bool
}

type plotTick struct {
	X    float64
	Text string
}

func newPlot(row peridotusher.BurnRow) *plot {
	p := &plot{}
	top := plotLimit(row)
	y := func(rate float64) float64 {
		return plotTop + plotHeight*(1-math.Min(math.Sqrt(rate/top), 1))
	}
	p.addLevels(top, y)
	p.addSeries(row, y)
	p.addTicks(len(row.History))
	return p
}

// plotLimit returns the burn rate at the top of the plot: 20 % above the highest threshold or rate.
func plotLimit(row peridotusher.BurnRow) float64 {
	top := 1.0
	for _, pair := range peridotusher.BurnPairs() {
		top = math.Max(top, pair.Rate)
	}
	for _, c := range row.History {
		top = math.Max(top, c.Rate(row.Objective))
	}
	return top * 1.2
}

func (p *plot) addLevels(top float64, y func(float64) float64) {
	p.Levels = append(p.Levels, plotLevel{Y: y(0), Text: "0"}, plotLevel{Y: y(1), Text: "1"})
	for _, pair := range peridotusher.BurnPairs() {
		p.Levels = append(p.Levels, plotLevel{Y: y(pair.Rate), Text: fmt.Sprintf("%.3g", pair.Rate), Pair: true})
	}
	if half := top / 1.2; half > 30 {
		p.Levels = append(p.Levels, plotLevel{Y: y(half), Text: fmt.Sprintf("%.0f", half)})
	}
}

// addSeries adds the burn rate and the number of requests of each bucket that has requests.
func (p *plot) addSeries(row peridotusher.BurnRow, y func(float64) float64) {
	var maxRequests float64
	for _, c := range row.History {
		maxRequests = math.Max(maxRequests, c.Requests)
	}
	p.Most = fmt.Sprintf("%.0f", maxRequests)
	step := plotWidth / float64(len(row.History))
	var line strings.Builder
	for i, c := range row.History {
		if c.Requests == 0 {
			continue
		}
		x := plotLeft + step*(float64(i)+0.5)
		rate := y(c.Rate(row.Objective))
		fmt.Fprintf(&line, "%.1f,%.1f ", x, rate)
		p.Dots = append(p.Dots, plotDot{x, rate})
		height := barHeight * c.Requests / maxRequests
		p.Bars = append(p.Bars, plotBar{X: x - 0.4*step, Y: barBottom - height, Width: 0.8 * step, Height: height})
	}
	p.Line = line.String()
}

const (
	barHeight = 36.0
	barBottom = 236.0
)

func (p *plot) addTicks(buckets int) {
	span := time.Duration(buckets-1) * peridotusher.BurnStep
	for i := 0; i <= plotTicks; i++ {
		share := float64(i) / plotTicks
		ago := time.Duration(float64(span) * (1 - share)).Round(time.Minute)
		text := "now"
		if ago > 0 {
			text = "-" + shortDuration(ago)
		}
		p.Ticks = append(p.Ticks, plotTick{X: plotLeft + plotWidth*share, Text: text})
	}
}

// shortDuration formats a duration without zero minutes and seconds: 5m0s as 5m, 1h0m0s as 1h.
func shortDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

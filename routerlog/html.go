package routerlog

import (
	"bytes"
	"fmt"
	"html/template"
	"io"

	chart "github.com/wcharczuk/go-chart/v2"
)

const (
	// maxBars is the number of bars of a plot, those with the highest counts.
	maxBars     = 15
	plotWidth   = 960
	plotHeight  = 320
	barWidth    = 36
	labelHeight = 90
)

// page is the HTML page of a summary. It needs no other file.
var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Requests that routers ended themselves</title>
<style>body{font-family:sans-serif;max-width:62em;margin:2em auto}pre{overflow-x:auto}svg{max-width:100%;height:auto}</style>
</head><body><h1>Requests that routers ended themselves</h1>
{{range .Plots}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}<h2>Tables</h2><pre>{{.Text}}</pre></body></html>
`))

// plot is a plot of the page.
type plot struct {
	Title string
	SVG   template.HTML
}

// WriteHTML writes the summary as one HTML page with plots.
func (s Summary) WriteHTML(w io.Writer) error {
	var text bytes.Buffer
	if err := s.WriteText(&text); err != nil {
		return err
	}
	var plots []plot
	for _, table := range []struct {
		title  string
		counts []Count
	}{
		{"By time", s.ByTime},
		{"By reason", s.ByReason},
		{"By zone of the router", s.ByZone},
		{"By service", s.ByService},
		{"Seconds after the arrival, 99th percentile (in thousandths)", s.ageBars()},
		{"Events", s.Events},
	} {
		svg, err := barPlot(table.counts)
		if err != nil {
			return fmt.Errorf("plotting %q: %w", table.title, err)
		}
		if svg != "" {
			plots = append(plots, plot{table.title, svg})
		}
	}
	return page.Execute(w, struct {
		Plots []plot
		Text  string
	}{plots, text.String()})
}

// ageBars returns the 99th percentiles of the ages in milliseconds.
func (s Summary) ageBars() []Count {
	var bars []Count
	for _, ages := range s.Ages {
		bars = append(bars, Count{Name: ages.Outcome, Lines: int(ages.P99 * 1000)})
	}
	return bars
}

// barPlot returns a bar for each of the counts, or "" if there is nothing to plot.
func barPlot(counts []Count) (template.HTML, error) {
	highest := 0
	bars := make([]chart.Value, 0, maxBars)
	for _, count := range counts[:min(len(counts), maxBars)] {
		bars = append(bars, chart.Value{Label: template.HTMLEscapeString(count.Name), Value: float64(count.Lines)})
		highest = max(highest, count.Lines)
	}
	if highest == 0 {
		return "", nil
	}
	graph := chart.BarChart{
		Width: plotWidth, Height: plotHeight, BarWidth: barWidth, Bars: bars,
		Background: chart.Style{Padding: chart.Box{Top: 20, Bottom: labelHeight}},
		XAxis:      chart.Style{TextRotationDegrees: 20, FontSize: 8},
		YAxis:      chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: float64(highest)}},
	}
	var svg bytes.Buffer
	if err := graph.Render(chart.SVG, &svg); err != nil {
		return "", fmt.Errorf("rendering: %w", err)
	}
	return template.HTML(svg.String()), nil //nolint:gosec // labels are escaped
}

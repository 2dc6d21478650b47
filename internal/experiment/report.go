package experiment

import (
	"fmt"
	"io"

	"github.com/wcharczuk/go-chart/v2"
)

// Row is the result of one policy on one pattern.
type Row struct {
	Pattern, Policy string
	Result          Result
}

// Compare simulates a pattern under all policies.
func Compare(p Pattern, seed uint64) []Row {
	var rows []Row
	for _, named := range Policies() {
		rows = append(rows, Row{p.Name, named.Name, Run(p, named.Policy, seed)})
	}
	return rows
}

// WriteTable writes rows as a Markdown table, with shares between 0 and 1 and
// times in ms. It returns the first error of the writer.
func WriteTable(w io.Writer, rows []Row) error {
	_, err := fmt.Fprint(w, "| pattern | policy | credit | worst 2 s | worst class | in aim | served | refused | tries | p50 | p99 | new connections | other region |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, row := range rows {
		if err != nil {
			return err
		}
		r := row.Result
		_, err = fmt.Fprintf(w, "| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.2f | %d | %d | %.3f | %.3f |\n", row.Pattern, row.Policy,
			r.Credit, r.WorstWindow, r.WorstClass, r.WithinObjective, r.Served, r.Refused, r.Attempts, r.P50.Milliseconds(), r.P99.Milliseconds(), r.NewConnections, r.OtherRegion)
	}
	return err
}

// Size of a plot in pixels.
const plotWidth, plotHeight = 900, 420

// WritePlot writes an SVG chart of the credit of each window over time, with one
// line for each row. It returns errors of the writer and of the chart.
func WritePlot(w io.Writer, rows []Row) error {
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		XAxis: chart.XAxis{Name: "seconds"},
		YAxis: chart.YAxis{Name: "credit earned", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
	}
	for _, row := range rows {
		graph.Title = row.Pattern
		series := chart.ContinuousSeries{Name: row.Policy}
		for i, credit := range row.Result.Windows {
			series.XValues = append(series.XValues, float64(i)*windowLength.Seconds())
			series.YValues = append(series.YValues, credit)
		}
		graph.Series = append(graph.Series, series)
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	return graph.Render(chart.SVG, w)
}

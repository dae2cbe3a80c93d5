package rehearse

import (
	"fmt"
	"io"
	"math"
	"sort"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Row compares one measured figure of two folders over their seeds.
type Row struct {
	Scenario string  `json:"scenario"`
	Figure   string  `json:"figure"`
	Unit     string  `json:"unit"`
	A        Sample  `json:"a"`
	B        Sample  `json:"b"`
	Diff     float64 `json:"diff"`   // mean of B minus mean of A
	Low      float64 `json:"low"`    // lower bound of the 95% confidence interval of Diff
	High     float64 `json:"high"`   // upper bound of that interval
	Sure     bool    `json:"sure"`   // the interval excludes 0
	Paired   bool    `json:"paired"` // both sides have the same seeds, compared seed by seed
}

// Sample summarizes a figure over seeds.
type Sample struct {
	N    int     `json:"n"`
	Mean float64 `json:"mean"`
}

type figure struct{ scenario, name, unit string }

// figures returns the measured figures of a folder's results, by seed.
func figures(dir string) (map[figure]map[uint64]float64, error) {
	results, err := ReadResults(dir)
	if err != nil {
		return nil, err
	}
	out := map[figure]map[uint64]float64{}
	add := func(r *Result, name, unit string, v float64) {
		k := figure{r.Scenario, name, unit}
		if out[k] == nil {
			out[k] = map[uint64]float64{}
		}
		out[k][r.Seed] = v
	}
	for i := range results {
		r := &results[i]
		if r.Result == Interrupted {
			continue
		}
		add(r, "rules broken", "", float64(len(r.Rules.Broken)))
		for n, f := range r.Faults {
			for _, s := range f.Steps {
				add(r, fmt.Sprintf("fault %d %s: %s", n+1, f.Kind, s.Step), "s", float64(s.AfterMS)/1000)
			}
		}
		for _, o := range r.Objectives {
			if o.Got >= 0 {
				add(r, o.What, o.Unit, o.Got)
			}
		}
	}
	return out, nil
}

// Compare compares the figures that two folders have in common. If both have the same seeds,
// the differences are taken seed by seed.
func Compare(dirA, dirB string) ([]Row, error) {
	a, err := figures(dirA)
	if err != nil {
		return nil, err
	}
	b, err := figures(dirB)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for k, va := range a {
		vb, both := b[k]
		if !both {
			continue
		}
		rows = append(rows, compare(k, va, vb))
	}
	if rows == nil {
		return nil, fmt.Errorf("%s and %s have no scenario in common", dirA, dirB)
	}
	sort.Slice(rows, func(i, j int) bool {
		return rows[i].Scenario < rows[j].Scenario || rows[i].Scenario == rows[j].Scenario && rows[i].Figure < rows[j].Figure
	})
	return rows, nil
}

func compare(k figure, a, b map[uint64]float64) Row {
	row := Row{Scenario: k.scenario, Figure: k.name, Unit: k.unit, Paired: len(a) == len(b)}
	var xa, xb, diff []float64
	for _, s := range seedsOf(a) {
		xa = append(xa, a[s])
		if v, ok := b[s]; ok {
			diff = append(diff, v-a[s])
		} else {
			row.Paired = false
		}
	}
	for _, s := range seedsOf(b) {
		xb = append(xb, b[s])
	}
	row.A, row.B = Sample{len(xa), stat.Mean(xa, nil)}, Sample{len(xb), stat.Mean(xb, nil)}
	row.Diff = row.B.Mean - row.A.Mean
	half := math.Inf(1)
	switch {
	case row.Paired && len(diff) > 1:
		half = quantile(float64(len(diff)-1)) * stat.StdErr(stat.StdDev(diff, nil), float64(len(diff)))
	case !row.Paired && len(xa) > 1 && len(xb) > 1: // Welch's interval
		ua, ub := stat.Variance(xa, nil)/float64(len(xa)), stat.Variance(xb, nil)/float64(len(xb))
		if ua+ub > 0 {
			df := (ua + ub) * (ua + ub) / (ua*ua/float64(len(xa)-1) + ub*ub/float64(len(xb)-1))
			half = quantile(df) * math.Sqrt(ua+ub)
		} else {
			half = 0
		}
	}
	row.Low, row.High = row.Diff-half, row.Diff+half
	row.Sure = !math.IsInf(half, 1) && (row.Low > 0 || row.High < 0)
	if math.IsInf(half, 1) { // one seed gives no estimate of the variance
		row.Low, row.High = -math.MaxFloat64, math.MaxFloat64
	}
	return row
}

// quantile returns the quantile of Student's t distribution for a two-sided interval of 95%.
func quantile(df float64) float64 { return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: df}.Quantile(0.975) }

func seedsOf(m map[uint64]float64) []uint64 {
	out := make([]uint64, 0, len(m))
	for s := range m {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// PrintComparison writes rows as a text table.
func PrintComparison(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tfigure\tfirst\tsecond\tdifference\t95% interval\t")
	for _, r := range rows {
		interval := "one seed: none"
		if r.High < math.MaxFloat64 {
			interval = fmt.Sprintf("%+.3f to %+.3f", r.Low, r.High)
		}
		sure := ""
		if r.Sure {
			sure = "differs"
		}
		fmt.Fprintf(w, "%s\t%s\t%.3f (%d)\t%.3f (%d)\t%+.3f\t%s\t%s\n", r.Scenario, r.Figure, r.A.Mean, r.A.N, r.B.Mean, r.B.N, r.Diff, interval, sure)
	}
	return w.Flush()
}

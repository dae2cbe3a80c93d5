package rehearse

import (
	_ "embed"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"sort"
	"strings"
)

//go:embed report.html
var reportPage string

// Geometry of the drawings, in pixels.
const (
	drawWidth  = 1000.0
	labelWidth = 130.0
	rowHeight  = 16.0
	stepHeight = 46.0
)

// drawing is a scenario's timeline as the template renders it.
type drawing struct {
	Width, Height float64
	Rows          []row
	Bars          []bar
	Marks         []mark
	Ticks         []tick
	Steps         []stepLine
}

type row struct {
	Y     float64
	Label string
	Head  bool
}

type bar struct {
	X, Y, W, H float64
	Class      string
	Color      int
	Title      string
}

type mark struct {
	X, W, H float64 // W is the width up to the time at which the fault was lifted
	Label   string
	N       int
}

type tick struct {
	X, H  float64
	Label string
}

// stepLine is the number of a job's running tasks over time.
type stepLine struct {
	Y      float64
	Label  string
	Points string
	Most   int
}

type pageScenario struct {
	Result
	Draw  drawing
	Waits []Wait
}

// WriteReport writes a folder's report as one self-contained HTML file.
func WriteReport(dir string, results []Result) error {
	t, err := template.New("report").Funcs(template.FuncMap{
		"s":     func(ms int64) string { return fmt.Sprintf("%.2f", float64(ms)/1000) },
		"f2":    func(v float64) string { return fmt.Sprintf("%.2f", v) },
		"short": short,
		"share": func(ms int64, f FaultResult) string { // as a share of the fault's longest step
			most := int64(1)
			for _, s := range f.Steps {
				most = max(most, s.AfterMS, s.LeastMS)
			}
			return fmt.Sprintf("%.1f", 100*float64(ms)/float64(most))
		},
		"count": func(rs []pageScenario, what string) (n int) {
			for _, r := range rs {
				if r.Result.Result == what {
					n++
				}
			}
			return n
		},
	}).Parse(reportPage)
	if err != nil {
		return err
	}
	var page []pageScenario
	for _, r := range results {
		full := r
		if full.Timeline == nil { // printed results omit the timeline
			stored, err := readResult(dir, fmt.Sprintf("%s-%d", r.Scenario, r.Seed))
			if err != nil {
				return err
			}
			full = *stored
		}
		p := pageScenario{Result: full, Waits: full.Waits}
		if full.Timeline != nil {
			p.Draw = draw(&full)
		}
		page = append(page, p)
	}
	path := filepath.Join(dir, "index.html")
	f, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	if err := t.Execute(f, page); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// draw lays out controllers, machines and replicas over time.
func draw(r *Result) drawing {
	line := r.Timeline
	end := max(line.EndS, 1)
	x := func(s float64) float64 { return labelWidth + (drawWidth-labelWidth-10)*min(max(s, 0), end)/end }
	d := drawing{Width: drawWidth}
	y := 18.0
	put := func(label string, head bool) float64 {
		d.Rows = append(d.Rows, row{y, label, head})
		y += rowHeight
		return y - rowHeight
	}
	addBars := func(at float64, spans []Span, who, class string) {
		for _, s := range spans {
			if s.Who == who {
				title := fmt.Sprintf("%s on %s, %.2f to %.2f s %s", s.What, s.Who, s.FromS, s.ToS, s.End)
				d.Bars = append(d.Bars, bar{x(s.FromS), at + 2, max(1, x(s.ToS)-x(s.FromS)), rowHeight - 4, class + " " + s.End, colorOf(s.What), title})
			}
		}
	}
	put("controllers", true)
	for _, c := range spanOwners(line.Lives, line.Shards, line.Leaders) {
		at := put(c, false)
		addBars(at, line.Lives, c, "up")
		addBars(at, line.Shards, c, "shard")
		addBars(at, line.Leaders, c, "leader")
	}
	put("machines", true)
	for _, m := range spanOwners(line.Machines) {
		if busy := len(spansOf(line.Tasks, m)) > 0; !busy && len(line.Machines) > 40 {
			continue // of a large fleet, show only machines that had work
		}
		at := put(m, false)
		addBars(at, line.Machines, m, "up")
		lanes(&d, spansOf(line.Tasks, m), at, x)
	}
	y += 6
	jobs := make([]string, 0, len(line.Up))
	for id := range line.Up {
		jobs = append(jobs, id)
	}
	sort.Strings(jobs)
	for _, id := range jobs {
		d.Steps = append(d.Steps, steps(id, line.Up[id], y, end, x))
		y += stepHeight
	}
	for i, f := range r.Faults {
		w := 0.0
		if f.LiftedS > f.AtS {
			w = x(f.LiftedS) - x(f.AtS)
		}
		d.Marks = append(d.Marks, mark{x(f.AtS), w, y, fmt.Sprintf("%d %s: %s", i+1, f.Kind, short(f.Hits)), i + 1})
	}
	every := 1.0
	for _, e := range []float64{2, 5, 10, 20, 30, 60, 120} {
		if end/every > 16 {
			every = e
		}
	}
	for s := 0.0; s <= end; s += every {
		d.Ticks = append(d.Ticks, tick{x(s), y, fmt.Sprintf("%g s", s)})
	}
	d.Height = y + 8
	return d
}

// lanes lays out a machine's tasks; concurrent tasks are placed one below the other.
func lanes(d *drawing, spans []Span, at float64, x func(float64) float64) {
	sort.SliceStable(spans, func(i, j int) bool { return spans[i].FromS < spans[j].FromS })
	var free []float64
	lane := make([]int, len(spans))
	for i, s := range spans {
		lane[i] = -1
		for k := range free {
			if free[k] <= s.FromS {
				lane[i], free[k] = k, s.ToS
				break
			}
		}
		if lane[i] < 0 {
			lane[i] = len(free)
			free = append(free, s.ToS)
		}
	}
	h := (rowHeight - 3) / float64(max(1, len(free)))
	for i, s := range spans {
		id, _, _ := strings.Cut(s.What, "/")
		title := fmt.Sprintf("%s on %s, %.2f to %.2f s: %s", s.What, s.Who, s.FromS, s.ToS, s.End)
		d.Bars = append(d.Bars, bar{x(s.FromS), at + 1.5 + float64(lane[i])*h, max(1, x(s.ToS)-x(s.FromS)), max(1.5, h-0.5), "task " + s.End, colorOf(id), title})
	}
}

func steps(id string, seen []Seen, y, end float64, x func(float64) float64) stepLine {
	l := stepLine{Y: y, Label: id, Most: 1}
	for _, s := range seen {
		l.Most = max(l.Most, s.N)
	}
	v := func(n int) float64 { return y + stepHeight - 8 - (stepHeight-20)*float64(n)/float64(l.Most) }
	var b strings.Builder
	last := 0
	for _, s := range seen {
		fmt.Fprintf(&b, "%.1f,%.1f %.1f,%.1f ", x(s.AtS), v(last), x(s.AtS), v(s.N))
		last = s.N
	}
	fmt.Fprintf(&b, "%.1f,%.1f", x(end), v(last))
	l.Points = b.String()
	return l
}

func spansOf(spans []Span, who string) (out []Span) {
	for _, s := range spans {
		if s.Who == who {
			out = append(out, s)
		}
	}
	return out
}

// spanOwners returns the distinct owners of spans, in order.
func spanOwners(lists ...[]Span) (out []string) {
	seen := map[string]bool{}
	for _, l := range lists {
		for _, s := range l {
			if !seen[s.Who] {
				seen[s.Who] = true
				out = append(out, s.Who)
			}
		}
	}
	sort.Strings(out)
	return out
}

// colorOf maps a key to one of six colours; the same key always gets the same colour.
func colorOf(what string) int {
	n := 0
	for _, c := range what {
		n = (n*31 + int(c)) % 6
	}
	return n
}

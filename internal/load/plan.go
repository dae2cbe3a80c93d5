package load

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/barrowbridge/barrowbridge/internal/tomlfile"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Plan is the content of a load file. Arrivals are open-loop: their times do not
// depend on how long the answers take.
type Plan struct {
	Name     string  `toml:"name"`
	ForS     float64 `toml:"for_s"`     // duration in seconds in which jobs arrive
	DrainS   float64 `toml:"drain_s"`   // seconds after that until all jobs must be over
	Most     int     `toml:"most"`      // maximum number of submissions
	InFlight int     `toml:"in_flight"` // maximum number of concurrent submissions; arrivals beyond it are not sent
	Classes  []Class `toml:"class"`

	Pipelines []Pipeline `toml:"pipeline"`
}

// Class is one kind of job.
type Class struct {
	Name     string  `toml:"name"`
	Team     string  `toml:"team"`
	Shape    string  `toml:"shape"`
	Priority string  `toml:"priority"`
	Rate     float64 `toml:"rate"` // jobs a second; 0: only in pipelines
	Bursts   []Burst `toml:"burst"`
	Tasks    Dist    `toml:"tasks"`
	CPUs     float64 `toml:"cpus"`
	MemoryGB float64 `toml:"memory_gb"`
	RunS     Dist    `toml:"run_s"` // run time of a task; for a service, the time until its user cancels it
	Images   int     `toml:"images"`
	ImageGB  float64 `toml:"image_gb"`
	Spot     bool    `toml:"spot"`
	Spread   bool    `toml:"spread"`
}

// Burst multiplies a class's rate by Factor for ForS seconds.
type Burst struct {
	AtS    float64 `toml:"at_s"`
	ForS   float64 `toml:"for_s"`
	Factor float64 `toml:"factor"`
}

// Dist is a distribution: "fixed" (mean), "exponential" (mean), "uniform" (min, max)
// or "lognormal" (median, p95), cut at min and max.
type Dist struct {
	Kind   string  `toml:"kind"`
	Mean   float64 `toml:"mean"`
	Median float64 `toml:"median"`
	P95    float64 `toml:"p95"`
	Min    float64 `toml:"min"`
	Max    float64 `toml:"max"`
}

// Arrival is one job and the time at which its user intends to submit it.
type Arrival struct {
	At    time.Duration
	Class int
	Spec  wire.JobSpec
	Lasts time.Duration // time from acceptance to cancellation, for services and jobs of pipelines; 0: never cancelled

	pipeline *pipelineRun  // the pipeline that the job belongs to; nil: none
	needs    []int         // predecessors in its pipeline, by index
	earlier  string        // class whose latest accepted job is a predecessor too
	late     time.Duration // delay of submission after its predecessors are over; 0: submitted as soon as they are accepted
}

// Bounds of a plan.
const (
	maxSubmissions = 1000000
	maxInFlight    = 10000
	maxSeconds     = 86400.0
)

// ParsePlan parses and validates a load file. An error is a single line.
func ParsePlan(file string, b []byte) (*Plan, error) {
	p := Plan{DrainS: 60, Most: 10000, InFlight: 256}
	if err := tomlfile.Decode(file, b, &p); err != nil {
		return nil, err
	}
	if err := p.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return &p, nil
}

func within(key string, v, min, max float64) error {
	if !(v >= min && v <= max) {
		return fmt.Errorf("%s: must be from %g to %g, got %g", key, min, max, v)
	}
	return nil
}

func (p *Plan) check() error {
	errs := []error{within("for_s", p.ForS, 0.1, maxSeconds), within("drain_s", p.DrainS, 0, maxSeconds), within("most", float64(p.Most), 1, maxSubmissions),
		within("in_flight", float64(p.InFlight), 1, maxInFlight)}
	if len(p.Classes) == 0 {
		errs = append(errs, errors.New("class: at least one is needed"))
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		k := fmt.Sprintf("class[%d].", i)
		if c.Shape == "" {
			c.Shape = wire.ShapeBatch
		}
		if c.Priority == "" {
			c.Priority = "normal"
		}
		if c.Name == "" || c.Team == "" {
			errs = append(errs, fmt.Errorf("%sname: a class needs name and team", k))
		}
		if c.Shape != wire.ShapeBatch && c.Shape != wire.ShapeService {
			errs = append(errs, fmt.Errorf("%sshape: must be batch or service", k))
		}
		if wire.PriorityRank(c.Priority) < 0 {
			errs = append(errs, fmt.Errorf("%spriority: must be production, urgent, normal or idle", k))
		}
		errs = append(errs, within(k+"rate", c.Rate, p.minRate(c.Name), 10000), within(k+"cpus", c.CPUs, 1e-6, 1e6), within(k+"memory_gb", c.MemoryGB, 0, 1e6),
			within(k+"images", float64(c.Images), 0, 1000), within(k+"image_gb", c.ImageGB, 0, 1e4), c.Tasks.check(k+"tasks", 1, wire.MaxTasks), c.RunS.check(k+"run_s", 0.01, maxSeconds))
		for j, x := range c.Bursts {
			kb := fmt.Sprintf("%sburst[%d].", k, j)
			errs = append(errs, within(kb+"at_s", x.AtS, 0, p.ForS), within(kb+"for_s", x.ForS, 0.01, maxSeconds), within(kb+"factor", x.Factor, 0, 1000))
		}
	}
	for i := range p.Pipelines {
		errs = append(errs, p.checkPipeline(fmt.Sprintf("pipeline[%d].", i), &p.Pipelines[i]))
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *Dist) check(key string, low, high float64) error {
	if d.Max == 0 {
		d.Max = high
	}
	d.Min = max(d.Min, low)
	if err := within(key+".max", d.Max, d.Min, high); err != nil {
		return err
	}
	switch d.Kind {
	case "fixed", "exponential":
		return within(key+".mean", d.Mean, low, high)
	case "uniform":
		return nil
	case "lognormal":
		if err := within(key+".median", d.Median, low, high); err != nil {
			return err
		}
		return within(key+".p95", d.P95, d.Median, high*10)
	}
	return fmt.Errorf("%s.kind: %q is none of fixed, exponential, uniform, lognormal", key, d.Kind)
}

// normal95 is the 95th percentile of the standard normal distribution.
var normal95 = distuv.UnitNormal.Quantile(0.95)

// draw draws from a distribution that check has accepted.
func (d Dist) draw(src *rand.Rand) float64 {
	v := d.Mean
	switch d.Kind {
	case "exponential":
		v = distuv.Exponential{Rate: 1 / d.Mean, Src: src}.Rand()
	case "uniform":
		v = distuv.Uniform{Min: d.Min, Max: math.Nextafter(d.Max, math.Inf(1)), Src: src}.Rand()
	case "lognormal":
		sigma := math.Log(d.P95/d.Median) / normal95
		v = distuv.LogNormal{Mu: math.Log(d.Median), Sigma: sigma, Src: src}.Rand()
	}
	return min(max(v, d.Min), d.Max)
}

// rate returns a class's rate, in jobs a second, at a time in seconds.
func (c *Class) rate(at float64) float64 {
	r := c.Rate
	for _, b := range c.Bursts {
		if at >= b.AtS && at < b.AtS+b.ForS {
			r *= b.Factor
		}
	}
	return r
}

// peak returns an upper bound of the class's rate, in jobs a second.
func (c *Class) peak() float64 {
	r := c.Rate
	for _, b := range c.Bursts {
		r *= max(1, b.Factor)
	}
	return r
}

// Schedule draws all arrivals for a seed as Poisson processes and returns them in
// order of time. Ids are numbered from first. left is the number of arrivals that were
// dropped because they exceed Most.
func (p *Plan) Schedule(seed, first uint64) (out []Arrival, left int) {
	for i := range p.Classes {
		c := &p.Classes[i]
		src := rand.New(rand.NewPCG(seed, uint64(i)))
		for at := 0.0; ; {
			at += src.ExpFloat64() / c.peak()
			if at >= p.ForS {
				break
			}
			if src.Float64()*c.peak() >= c.rate(at) { // thinning: keep arrivals in proportion to the current rate
				continue
			}
			out = append(out, c.arrival(i, at, src))
		}
	}
	for i := range p.Pipelines {
		out = p.draw(out, i, rand.New(rand.NewPCG(seed, uint64(len(p.Classes)+i))))
	}
	// Classes are drawn one after the other; ids follow the merged order of time.
	sortArrivals(out)
	if len(out) > p.Most {
		out, left = out[:p.Most], len(out)-p.Most
	}
	for i := range out {
		id := fmt.Sprintf("job-%06d", first+uint64(i))
		out[i].Spec.ID = &id
		out[i].addToPipeline()
	}
	return out, left
}

func (c *Class) arrival(i int, at float64, src *rand.Rand) Arrival {
	tasks, run, no, zero := int64(math.Round(c.Tasks.draw(src))), c.RunS.draw(src), false, 0.0
	image := c.Name
	if c.Images > 0 {
		image = fmt.Sprintf("%s-%d", c.Name, src.IntN(c.Images))
	}
	a := Arrival{At: time.Duration(at * float64(time.Second)), Class: i, Spec: wire.JobSpec{Class: &c.Name, Team: &c.Team, Shape: &c.Shape, Priority: &c.Priority,
		Tasks: &tasks, CPUs: &c.CPUs, GPUs: &zero, MemoryGB: &c.MemoryGB, OneZone: &no, Spread: &c.Spread, Spot: &c.Spot, Image: &image, ImageGB: &c.ImageGB,
		EstimateS: &run, CheckpointEvery: &zero, SaveS: &zero}}
	if c.Shape == wire.ShapeService {
		a.Spec.EstimateS, a.Lasts = &zero, time.Duration(run*float64(time.Second))
	}
	return a
}

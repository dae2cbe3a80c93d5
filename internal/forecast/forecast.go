// Package forecast tells how long tasks run: by their owners' estimates, corrected by how
// far those of their class have been off. Owners err by half, and on some days all one way.
//
// A plain structure: no clock, no I/O, not for concurrent use.
package forecast

import (
	"math"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Params bound what is learned.
type Params struct {
	PriorTasks  float64 // tasks that the owners' own estimate counts for, as far as correction goes
	MaxTasks    float64 // tasks remembered: older ones weigh less
	PriorSpread float64 // of the logarithm, until enough has been seen
}

// Book keeps the bias of each class.
type Estimator struct {
	p  Params
	of map[string]*bias
}

type bias struct{ n, sum, squares float64 } // of log(ran/estimate)

// New returns a book that trusts estimates.
func New(p Params) *Estimator { return &Estimator{p: p, of: map[string]*bias{}} }

// Ran notes that a task of a class, estimated at so many seconds, ran for so long.
func (b *Estimator) Record(class string, estimate float64, ran time.Duration) {
	if estimate <= 0 || ran <= 0 {
		return
	}
	x := b.of[class]
	if x == nil {
		x = &bias{}
		b.of[class] = x
	}
	if x.n >= b.p.MaxTasks {
		f := 1 - 1/b.p.MaxTasks
		x.n, x.sum, x.squares = x.n*f, x.sum*f, x.squares*f
	}
	l := math.Log(ran.Seconds() / estimate)
	x.n, x.sum, x.squares = x.n+1, x.sum+l, x.squares+l*l
}

// Factor corrects estimates of a class: its tasks run so many times as long, typically.
func (b *Estimator) Factor(class string) float64 { f, _ := b.log(class); return math.Exp(f) }

// Surely bounds the run time of a task of a class from above, nearly always.
func (b *Estimator) UpperBound(class string, estimate float64) time.Duration {
	mean, spread := b.log(class)
	return time.Duration(estimate * math.Exp(mean+2*spread) * float64(time.Second))
}

// Typical is how long a task of a class runs.
func (b *Estimator) Typical(class string, estimate float64) time.Duration {
	return time.Duration(estimate * b.Factor(class) * float64(time.Second))
}

func (b *Estimator) log(class string) (mean, spread float64) {
	x := b.of[class]
	if x == nil {
		return 0, b.p.PriorSpread
	}
	mean = x.sum / (x.n + b.p.PriorTasks)
	v := (x.squares+b.p.PriorTasks*b.p.PriorSpread*b.p.PriorSpread)/(x.n+b.p.PriorTasks) - mean*mean
	return mean, math.Sqrt(max(v, 0.01))
}

// Export is what is worth keeping: classes of which so many tasks have been seen.
func (b *Estimator) Export(least float64) map[string][3]float64 {
	out := map[string][3]float64{}
	for class, x := range b.of {
		if x.n >= least {
			out[class] = [3]float64{x.n, x.sum, x.squares}
		}
	}
	return out
}

// Shorter leaves out the class of which least is known, and tells whether there was one.
func DropLeastKnownClass(b *wire.Bias) bool {
	least, found := "", false
	for class, v := range b.Classes {
		if x := b.Classes[least]; !found || v[0] < x[0] || v[0] == x[0] && class < least {
			least, found = class, true
		}
	}
	delete(b.Classes, least)
	return found
}

// Import takes what another has learned, for classes of which less is known here.
func (b *Estimator) Import(classes map[string][3]float64) {
	for class, v := range classes {
		if x := b.of[class]; (x == nil || x.n < v[0]) && v[0] > 0 && v[0] <= 2*b.p.MaxTasks {
			b.of[class] = &bias{v[0], v[1], v[2]}
		}
	}
}

// Moved tells whether a class's factor differs by more than a share from what was exported.
func (b *Estimator) Changed(was map[string][3]float64, least, share float64) bool {
	for class := range b.Export(least) {
		old, known := was[class]
		if f := b.Factor(class); !known || math.Abs(math.Log(f)-old[1]/(old[0]+b.p.PriorTasks)) > share {
			return true
		}
	}
	return false
}

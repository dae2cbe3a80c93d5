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
	params  Params
	classes map[string]*classBias
}

type classBias struct{ weight, sum, squares float64 } // of log(ran/estimate)

// New returns a book that trusts estimates.
func New(p Params) *Estimator { return &Estimator{params: p, classes: map[string]*classBias{}} }

// Ran notes that a task of a class, estimated at so many seconds, ran for so long.
func (e *Estimator) Record(class string, estimateS float64, ran time.Duration) {
	if estimateS <= 0 || ran <= 0 {
		return
	}
	bias := e.classes[class]
	if bias == nil {
		bias = &classBias{}
		e.classes[class] = bias
	}
	if bias.weight >= e.params.MaxTasks {
		decay := 1 - 1/e.params.MaxTasks
		bias.weight, bias.sum, bias.squares = bias.weight*decay, bias.sum*decay, bias.squares*decay
	}
	logRatio := math.Log(ran.Seconds() / estimateS)
	bias.weight, bias.sum, bias.squares = bias.weight+1, bias.sum+logRatio, bias.squares+logRatio*logRatio
}

// Factor corrects estimates of a class: its tasks run so many times as long, typically.
func (e *Estimator) Factor(class string) float64 { f, _ := e.logBias(class); return math.Exp(f) }

// Surely bounds the run time of a task of a class from above, nearly always.
func (e *Estimator) UpperBound(class string, estimateS float64) time.Duration {
	mean, spread := e.logBias(class)
	return time.Duration(estimateS * math.Exp(mean+2*spread) * float64(time.Second))
}

// Typical is how long a task of a class runs.
func (e *Estimator) Typical(class string, estimateS float64) time.Duration {
	return time.Duration(estimateS * e.Factor(class) * float64(time.Second))
}

func (e *Estimator) logBias(class string) (mean, spread float64) {
	bias := e.classes[class]
	if bias == nil {
		return 0, e.params.PriorSpread
	}
	mean = bias.sum / (bias.weight + e.params.PriorTasks)
	variance := (bias.squares+e.params.PriorTasks*e.params.PriorSpread*e.params.PriorSpread)/(bias.weight+e.params.PriorTasks) - mean*mean
	return mean, math.Sqrt(max(variance, 0.01))
}

// Export is what is worth keeping: classes of which so many tasks have been seen.
func (e *Estimator) Export(minWeight float64) map[string][3]float64 {
	exported := map[string][3]float64{}
	for class, bias := range e.classes {
		if bias.weight >= minWeight {
			exported[class] = [3]float64{bias.weight, bias.sum, bias.squares}
		}
	}
	return exported
}

// Shorter leaves out the class of which least is known, and tells whether there was one.
func DropLeastKnownClass(record *wire.Bias) bool {
	least, found := "", false
	for class, v := range record.Classes {
		if x := record.Classes[least]; !found || v[0] < x[0] || v[0] == x[0] && class < least {
			least, found = class, true
		}
	}
	delete(record.Classes, least)
	return found
}

// Import takes what another has learned, for classes of which less is known here.
func (e *Estimator) Import(classes map[string][3]float64) {
	for class, v := range classes {
		if known := e.classes[class]; (known == nil || known.weight < v[0]) && v[0] > 0 && v[0] <= 2*e.params.MaxTasks {
			e.classes[class] = &classBias{v[0], v[1], v[2]}
		}
	}
}

// Moved tells whether a class's factor differs by more than a share from what was exported.
func (e *Estimator) Changed(exported map[string][3]float64, minWeight, threshold float64) bool {
	for class := range e.Export(minWeight) {
		old, known := exported[class]
		if f := e.Factor(class); !known || math.Abs(math.Log(f)-old[1]/(old[0]+e.params.PriorTasks)) > threshold {
			return true
		}
	}
	return false
}

// Package forecast estimates how long tasks run: by the estimates of their owners, corrected by how
// far the estimates for their class have been off. Owners' estimates are off by up to half, and on
// some days all in the same direction.
//
// An estimator has no clock and no I/O, and is not safe for concurrent use.
package forecast

import (
	"math"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/conversion"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Params are the parameters of the correction.
type Params struct {
	PriorTasks  float64 // number of tasks that the owners' own estimate counts for
	MaxTasks    float64 // number of tasks remembered; older ones have less weight
	PriorSpread float64 // standard deviation of the logarithm, until enough tasks have run
}

// Estimator keeps the bias of the estimates of each class.
type Estimator struct {
	params  Params
	classes map[string]*classBias
}

type classBias struct{ weight, sum, squares float64 } // of log(run time/estimate)

// New returns an estimator without observations, which returns the owners' estimates.
func New(params Params) *Estimator {
	return &Estimator{params: params, classes: map[string]*classBias{}}
}

// Record records that a task of a class with an estimate of estimateS seconds ran for a time.
func (e *Estimator) Record(class string, estimateS float64, runtime time.Duration) {
	if estimateS <= 0 || runtime <= 0 {
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
	logRatio := math.Log(runtime.Seconds() / estimateS)
	bias.weight, bias.sum, bias.squares = bias.weight+1, bias.sum+logRatio, bias.squares+logRatio*logRatio
}

// Factor returns the correction of estimates of a class: its tasks typically run for this multiple
// of the estimate.
func (e *Estimator) Factor(class string) float64 {
	mean, _ := e.logBias(class)
	return math.Exp(mean)
}

// UpperBound returns a time that a task of a class nearly always ends within.
func (e *Estimator) UpperBound(class string, estimateS float64) time.Duration {
	mean, spread := e.logBias(class)
	return conversion.Seconds(estimateS * math.Exp(mean+2*spread))
}

// Typical returns how long a task of a class typically runs.
func (e *Estimator) Typical(class string, estimateS float64) time.Duration {
	return conversion.Seconds(estimateS * e.Factor(class))
}

// logBias returns the mean and the standard deviation of log(run time/estimate) of a class.
func (e *Estimator) logBias(class string) (mean, spread float64) {
	bias := e.classes[class]
	if bias == nil {
		return 0, e.params.PriorSpread
	}
	mean = bias.sum / (bias.weight + e.params.PriorTasks)
	variance := (bias.squares+e.params.PriorTasks*e.params.PriorSpread*e.params.PriorSpread)/
		(bias.weight+e.params.PriorTasks) - mean*mean
	return mean, math.Sqrt(max(variance, 0.01))
}

// Export returns what is worth storing: the classes with the weight of at least minWeight tasks, as
// weight, sum and sum of squares.
func (e *Estimator) Export(minWeight float64) map[string][3]float64 {
	exported := map[string][3]float64{}
	for class, bias := range e.classes {
		if bias.weight >= minWeight {
			exported[class] = [3]float64{bias.weight, bias.sum, bias.squares}
		}
	}
	return exported
}

// DropLeastKnownClass removes the class with the least weight from a record, and reports whether
// there was one.
func DropLeastKnownClass(record *wire.Bias) bool {
	least, found := "", false
	for class, bias := range record.Classes {
		if leastBias := record.Classes[least]; !found || bias[0] < leastBias[0] || bias[0] == leastBias[0] && class < least {
			least, found = class, true
		}
	}
	delete(record.Classes, least)
	return found
}

// Import takes over what another controller has learned, for classes of which less is known here.
func (e *Estimator) Import(classes map[string][3]float64) {
	for class, stored := range classes {
		if known := e.classes[class]; (known == nil || known.weight < stored[0]) &&
			stored[0] > 0 && stored[0] <= 2*e.params.MaxTasks {
			e.classes[class] = &classBias{stored[0], stored[1], stored[2]}
		}
	}
}

// Changed reports whether the logarithm of a class's factor differs by more than threshold from what
// was exported.
func (e *Estimator) Changed(exported map[string][3]float64, minWeight, threshold float64) bool {
	for class := range e.Export(minWeight) {
		before, known := exported[class]
		if f := e.Factor(class); !known || math.Abs(math.Log(f)-before[1]/(before[0]+e.params.PriorTasks)) > threshold {
			return true
		}
	}
	return false
}

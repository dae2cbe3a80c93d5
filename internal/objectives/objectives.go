// Package objectives decides by when a job should be done, and how many places it deserves for
// that: by its own deadline, or by what the operators' settings say of its class, or, if
// nobody says anything, by its size. Pure.
package objectives

import "math"

// Aims are what the settings say of classes.
type Objectives struct {
	// Finished: a job of the class should be done so many seconds after it was accepted.
	CompleteWithinS map[string]float64
	// Begun: the tasks of a job of the class should have begun within so many seconds of when it could run.
	StartWithinS map[string]float64
}

// Ahead tells whether machines for work of a class have to be asked for before it could run: its tasks
// would be late if one of them were asked for then, took as long as it may to be up, and fetched an image. boot
// is the usual time of a boot and fetch what comes after it, in seconds; a slow boot takes so many times the usual.
func (a Objectives) RequestAhead(class string, boot, fetch, slow float64) bool {
	s := a.StartWithinS[class]
	return s > 0 && boot*slow+fetch > s
}

// Limits bound what work that nobody waits for urgently is given.
type Limits struct {
	ReferenceCPUs float64 // see Turn
	HorizonS      float64 // seconds: work without an aim is to be done within so long
	MinTimeS      float64 // seconds: and none sooner than this, however late it is
	Headroom      float64 // share of the time that is left, for boots, fetches and failures
}

// Work is a job as far as this hangs on it. Times are seconds of the day's time.
type Work struct {
	Class     string
	AcceptedS float64
	DueS      float64 // after acceptance; 0: no deadline of its own
	CPUs      float64 // of a task
	Tasks     int
	EstimateS float64 // seconds of a task; 0 of a service
}

// Due is by when a job should be done; +Inf: nobody has said.
func (a Objectives) Due(w Work) float64 {
	if w.DueS > 0 {
		return w.AcceptedS + w.DueS
	}
	if s := a.CompleteWithinS[w.Class]; s > 0 && w.EstimateS > 0 {
		return w.AcceptedS + s
	}
	return math.Inf(1)
}

// Turn orders jobs that nobody has said anything of: as if each were given time by its
// work, at so many CPUs. By age alone hundreds of single tasks waited for minutes behind
// arrays that nobody needed soon; by work alone a large job might wait for ever.
func (l Limits) VirtualFinish(w Work) float64 {
	return w.AcceptedS + float64(w.Tasks)*w.EstimateS*w.CPUs/l.ReferenceCPUs
}

// Places is for how many tasks at a time machines should be paid so that rest tasks, each
// of estimate seconds, are done by their due time: not one for each task. An array of
// fifteen thousand tasks of four seconds would otherwise rent all there is for a minute,
// most of it boots.
func (l Limits) TargetParallelism(rest int, estimate, due, now float64) int {
	if estimate <= 0 {
		return rest
	}
	left := l.HorizonS
	if !math.IsInf(due, 1) {
		left = min(left, max(l.MinTimeS, (due-now)*l.Headroom))
	}
	return min(rest, int(math.Ceil(float64(rest)*estimate/max(left, estimate))))
}

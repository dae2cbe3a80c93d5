package rehearse

import (
	"fmt"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/checker"
	"github.com/barrowbridge/barrowbridge/internal/recovery"
)

// Results of a scenario.
const (
	Passed      = "passed"
	Failed      = "failed"
	Interrupted = "interrupted" // not observed to its end
)

// Result is the outcome of one run of a scenario.
type Result struct {
	Scenario   string          `json:"scenario"`
	Seed       uint64          `json:"seed"`
	Result     string          `json:"result"`
	Why        string          `json:"why,omitempty"`
	TookS      float64         `json:"took_s"`
	Rules      Rules           `json:"rules"`
	Faults     []FaultResult   `json:"faults"`
	Objectives []Objective     `json:"objectives"`
	Waits      []Wait          `json:"waits"`
	Served     []checker.Group `json:"served,omitempty"` // classes, teams and largest jobs
	Waves      []Wave          `json:"waves,omitempty"`  // services of many replicas
	Cost       Cost            `json:"cost"`
	Timeline   *Timeline       `json:"timeline,omitempty"`
}

// Cost is the effect of a run on the users.
type Cost struct {
	ReplicaLostS float64        `json:"replica_lost_s"` // missing replicas of services, in replica seconds, counted from when each first ran in full
	Asked        int            `json:"asked"`          // submissions, polls and cancellations
	Refused      int            `json:"refused"`        // requests answered with 503
	Unanswered   int            `json:"unanswered"`
	Handed       map[string]int `json:"handed,omitempty"` // changes of leader and holders between versions
}

// Rules lists the violations of the protocol's rules, each with what was observed.
type Rules struct {
	Broken []Broken `json:"broken"`
	Starts int      `json:"starts"` // task starts that were checked
}

// Broken is one violation of a rule.
type Broken struct {
	Rule string  `json:"rule"`
	AtS  float64 `json:"at_s"`
	What string  `json:"what"`
}

// FaultResult is one fault and the steps of its recovery.
type FaultResult struct {
	Kind     string          `json:"kind"`
	Hits     []string        `json:"hits"`
	AtS      float64         `json:"at_s"`
	LiftedS  float64         `json:"lifted_s,omitempty"`
	Lost     int             `json:"lost"` // tasks lost to the fault
	Back     int             `json:"back"` // lost tasks that ran again
	Steps    []recovery.Step `json:"steps"`
	WallTime time.Time       `json:"wall_time"`
}

// Objective is one expectation and its measured value; Got is -1 if there was none.
type Objective struct {
	What string  `json:"what"`
	Want float64 `json:"want"`
	Got  float64 `json:"got"`
	Unit string  `json:"unit"`
	Met  bool    `json:"met"`
}

// Wait is how long one job's user waited for each state, in seconds; -1: not observed.
type Wait struct {
	Job       string  `json:"job"`
	Class     string  `json:"class"`
	AcceptedS float64 `json:"accepted_s"`
	RunningS  float64 `json:"running_s"`
	DoneS     float64 `json:"done_s"`
}

// Wave is when the replicas of a service came up, in seconds since its submission; -1: not observed. LeastS is the
// time that a single machine takes to fetch the image, without contention.
type Wave struct {
	Job    string  `json:"job"`
	Tasks  int     `json:"tasks"`
	FirstS float64 `json:"first_s"`
	HalfS  float64 `json:"half_s"`
	AllS   float64 `json:"all_s"`
	LeastS float64 `json:"least_s"`
}

// Timeline is the data that the report draws. Times are in seconds since the start.
type Timeline struct {
	EndS     float64           `json:"end_s"`
	Tasks    []Span            `json:"tasks"`    // Who is the machine
	Machines []Span            `json:"machines"` // from up until gone
	Lives    []Span            `json:"lives"`    // incarnations of the controllers
	Shards   []Span            `json:"shards"`   // Who is the holder
	Leaders  []Span            `json:"leaders"`
	Up       map[string][]Seen `json:"up"` // running tasks by job
}

// Span is a state with a beginning and an end.
type Span struct {
	Who   string  `json:"who"`
	What  string  `json:"what"`
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
	End   string  `json:"end,omitempty"` // reason of the end
}

// Seen is a count that applies from a time on.
type Seen struct {
	AtS float64 `json:"at_s"`
	N   int     `json:"n"`
}

// Table formats a result as text.
func (r *Result) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (seed %d): %s after %.1f s", r.Scenario, r.Seed, r.Result, r.TookS)
	if r.Why != "" {
		fmt.Fprintf(&b, ": %s", r.Why)
	}
	b.WriteString("\n")
	for i, f := range r.Faults {
		fmt.Fprintf(&b, "  fault %d at %.1f s: %s, hits %s", i+1, f.AtS, f.Kind, short(f.Hits))
		if f.Lost > 0 {
			fmt.Fprintf(&b, "; %d tasks lost, %d back", f.Lost, f.Back)
		}
		b.WriteString("\n")
		for _, s := range f.Steps {
			fmt.Fprintf(&b, "    %-14s %7.2f s   least %6.2f s   (%d)\n", s.Step, float64(s.AfterMS)/1000, float64(s.LeastMS)/1000, s.Count)
		}
	}
	for _, o := range r.Objectives {
		word := "met   "
		if !o.Met {
			word = "MISSED"
		}
		got := "not seen"
		if o.Got >= 0 {
			got = fmt.Sprintf("%.3g %s", o.Got, o.Unit)
		}
		fmt.Fprintf(&b, "  %s %s: %s (wanted %.3g)\n", word, o.What, got, o.Want)
	}
	fmt.Fprintf(&b, "  cost: %.1f replica seconds lost; of %d requests %d refused, %d not answered", r.Cost.ReplicaLostS, r.Cost.Asked, r.Cost.Refused, r.Cost.Unanswered)
	if h := r.Cost.Handed; len(h) > 0 {
		fmt.Fprintf(&b, "; leader or holder %s %d times, %s %d times", ToNewer, h[ToNewer], ToEarlier, h[ToEarlier])
	}
	b.WriteString("\n")
	fmt.Fprintf(&b, "  rules: %d broken in %d task starts\n", len(r.Rules.Broken), r.Rules.Starts)
	for _, w := range r.Waves {
		fmt.Fprintf(&b, "  replicas of %s: first up after %.1f s, half after %.1f s, all %d after %.1f s; a machine alone fetches for %.1f s\n", w.Job, w.FirstS, w.HalfS, w.Tasks, w.AllS, w.LeastS)
	}
	for _, g := range r.Served {
		fmt.Fprintf(&b, "  served: %s: %d of %d begun in time, the last after %.1f s\n", g.Name, g.Served, g.Jobs, g.WorstS)
	}
	for _, v := range r.Rules.Broken {
		fmt.Fprintf(&b, "    %s at %.1f s: %s\n", v.Rule, v.AtS, v.What)
	}
	return b.String()
}

// short joins the names; of more than four it lists three and the number of the others.
func short(names []string) string {
	switch {
	case len(names) == 0:
		return "everybody"
	case len(names) > 4:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:3], " "), len(names)-3)
	}
	return strings.Join(names, " ")
}

package rehearse

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maskOf is the scenario that is run once for each link, with that link cut.
const maskOf = "upgrade-mask"

// UpgradeNames returns the names of the shipped upgrade scenarios.
func UpgradeNames() []string { return names("scenarios/upgrade") }

// Masks returns the links between controllers and from them to the state service, each cut in
// both directions and in either one. An element holds the two ends and "" or "one-way".
func Masks() (out [][3]string) {
	nodes := []string{"c0", "c1", "c2"}
	for i, a := range nodes {
		for _, b := range append(nodes[i+1:], "state") {
			out = append(out, [3]string{a, b, ""}, [3]string{a, b, "one-way"}, [3]string{b, a, "one-way"})
		}
	}
	return out
}

// Masked returns the upgrade scenario with one link cut in the middle of the upgrade, as text.
func Masked(mask [3]string) (name, source string, err error) {
	s, err := Load(maskOf)
	if err != nil {
		return "", "", err
	}
	s.Name = strings.Trim(strings.Join(append([]string{maskOf}, mask[:]...), "-"), "-")
	for i := range s.Faults {
		if f := &s.Faults[i]; f.Kind == "link" {
			f.Target, f.Peer, f.OneWay = mask[0], mask[1], mask[2] != ""
		}
	}
	return s.text()
}

// Alike returns the same rolling restart without a change of version, as a baseline for comparison.
func Alike(name string) (alike, source string, err error) {
	s, err := Load(name)
	if err != nil {
		return "", "", err
	}
	s.Name, s.From = s.Name+"-alike", FromThis
	return s.text()
}

// Random returns an upgrade with faults drawn from a seed: controllers of either version are killed,
// upgraded and rolled back, links between them and to the state service are cut, and the state
// service refuses a controller or loses changes for a while. At the end all controllers are upgraded.
func Random(seed uint64) (name, source string, err error) {
	s, err := Load(maskOf)
	if err != nil {
		return "", "", err
	}
	rng := rand.New(rand.NewPCG(seed, 39))
	some := func(names ...string) string { return names[rng.IntN(len(names))] }
	s.Name = fmt.Sprintf("upgrade-random-%d", seed)
	s.About = "Troubles drawn from a seed in the middle of an upgrade."
	s.Faults = nil
	at := 8.0
	for range 8 {
		f := Fault{Target: some("c0", "c1", "c2"), AtS: at, ForS: 2 + float64(rng.IntN(9))}
		switch rng.IntN(8) {
		case 0, 1, 2:
			f.Kind, f.Value, f.ForS = "controller_upgrade", 1, 2
		case 3:
			f.Kind, f.ForS = "controller_upgrade", 2 // back to the earlier version
		case 4:
			f.Kind = "controller_kill"
		case 5:
			f.Kind, f.Target = "state_refuses", some("leader", "c0", "c1", "c2")
		case 6:
			f.Kind, f.Mode, f.OneWay = "link", "hold", rng.IntN(2) == 0
			f.Peer = some("state", map[string]string{"c0": "c1", "c1": "c2", "c2": "c0"}[f.Target])
		default:
			f.Kind, f.Target, f.Value = "state_late_writes", "", 0.3
		}
		s.Faults = append(s.Faults, f)
		at += 2 + float64(rng.IntN(6))
	}
	for _, n := range []string{"c0", "c1", "c2"} {
		at += 8
		s.Faults = append(s.Faults, Fault{Kind: "controller_upgrade", Target: n, Value: 1, AtS: at, ForS: 2})
	}
	s.MostS = at + 60
	for i := range s.Expect { // allow for the duration of all faults
		if s.Expect[i].Kind != "up" {
			s.Expect[i].WithinS = s.MostS
		}
	}
	return s.text()
}

func (s *Scenario) text() (name, source string, err error) {
	b, err := toml.Marshal(s)
	return s.Name, string(b), err
}

// RollCost is the cost of the runs of an upgrade scenario, or of its baseline of one version.
type RollCost struct {
	Scenario     string         `json:"scenario"`
	Runs         int            `json:"runs"`
	Failed       int            `json:"failed"`
	Broken       int            `json:"rules_broken"`
	ReplicaLostS [2]float64     `json:"replica_lost_s"` // per run, mean and maximum
	WaitS        [2]float64     `json:"wait_s"`         // from a job's submission until it runs in full, mean and maximum
	Refused      int            `json:"refused"`        // requests answered with 503
	Unanswered   int            `json:"unanswered"`
	Asked        int            `json:"asked"`
	Handed       map[string]int `json:"handed,omitempty"`
}

// RollCosts sums up results by scenario.
func RollCosts(results []Result) []RollCost {
	by, jobs := map[string]*RollCost{}, map[string]int{}
	for _, r := range results {
		c := by[r.Scenario]
		if c == nil {
			c = &RollCost{Scenario: r.Scenario}
			by[r.Scenario] = c
		}
		c.Runs++
		if r.Result != Passed {
			c.Failed++
		}
		c.Broken += len(r.Rules.Broken)
		c.ReplicaLostS[0] += r.Cost.ReplicaLostS
		c.ReplicaLostS[1] = max(c.ReplicaLostS[1], r.Cost.ReplicaLostS)
		c.Refused, c.Unanswered, c.Asked = c.Refused+r.Cost.Refused, c.Unanswered+r.Cost.Unanswered, c.Asked+r.Cost.Asked
		for _, w := range r.Waits {
			if w.RunningS >= 0 {
				jobs[r.Scenario]++
				c.WaitS[0] += w.RunningS
				c.WaitS[1] = max(c.WaitS[1], w.RunningS)
			}
		}
		for k, n := range r.Cost.Handed {
			if c.Handed == nil {
				c.Handed = map[string]int{}
			}
			c.Handed[k] += n
		}
	}
	out := make([]RollCost, 0, len(by))
	for _, c := range by {
		c.ReplicaLostS[0] /= float64(c.Runs)
		c.WaitS[0] /= float64(max(1, jobs[c.Scenario]))
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Scenario < out[j].Scenario })
	return out
}

// RollTable formats costs as a text table.
func RollTable(costs []RollCost) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-34s %4s %6s %6s %16s %16s %25s %11s %11s\n", "scenario", "runs", "failed", "broken", "replica s lost", "wait s", "refused/unanswered/asked", ToNewer, ToEarlier)
	for _, c := range costs {
		asked := fmt.Sprintf("%d/%d/%d", c.Refused, c.Unanswered, c.Asked)
		fmt.Fprintf(&b, "%-34s %4d %6d %6d %5.1f, most %4.1f %5.1f, most %4.1f %25s", c.Scenario, c.Runs, c.Failed, c.Broken, c.ReplicaLostS[0], c.ReplicaLostS[1], c.WaitS[0], c.WaitS[1], asked)
		if c.Handed != nil {
			fmt.Fprintf(&b, " %11d %11d", c.Handed[ToNewer], c.Handed[ToEarlier])
		}
		b.WriteString("\n")
	}
	return b.String()
}

package rehearse

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maskOf is the scenario of which each link is cut in turn.
const maskOf = "upgrade-mask"

// UpgradeNames lists the shipped scenarios of an upgrade.
func UpgradeNames() []string { return names("scenarios/upgrade") }

// Masks are the links between controllers, and from them to the state service, each cut both
// ways and in either direction.
func Masks() (out [][3]string) {
	nodes := []string{"c0", "c1", "c2"}
	for i, a := range nodes {
		for _, b := range append(nodes[i+1:], "state") {
			out = append(out, [3]string{a, b, ""}, [3]string{a, b, "one-way"}, [3]string{b, a, "one-way"})
		}
	}
	return out
}

// Masked is the upgrade with one link cut in the middle of it, as a scenario's text.
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

// Alike is the same roll without a change of versions, to be compared with.
func Alike(name string) (alike, source string, err error) {
	s, err := Load(name)
	if err != nil {
		return "", "", err
	}
	s.Name, s.From = s.Name+"-alike", FromThis
	return s.text()
}

func (s *Scenario) text() (name, source string, err error) {
	b, err := toml.Marshal(s)
	return s.Name, string(b), err
}

// RollCost is what upgrades cost, beside rolls of one version.
type RollCost struct {
	Scenario     string         `json:"scenario"`
	Runs         int            `json:"runs"`
	Failed       int            `json:"failed"`
	Broken       int            `json:"rules_broken"`
	ReplicaLostS [2]float64     `json:"replica_lost_s"` // mean and most
	Refused      int            `json:"refused"`        // 503
	Unanswered   int            `json:"unanswered"`
	Asked        int            `json:"asked"`
	Handed       map[string]int `json:"handed,omitempty"`
}

// RollCosts sums results up by scenario.
func RollCosts(results []Result) []RollCost {
	by := map[string]*RollCost{}
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
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Scenario < out[j].Scenario })
	return out
}

// RollTable prints them for people.
func RollTable(costs []RollCost) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-28s %4s %6s %6s %18s %22s %10s %10s\n", "scenario", "runs", "failed", "broken", "replica s lost", "refused/unanswered/asked", ToNewer, ToEarlier)
	for _, c := range costs {
		fmt.Fprintf(&b, "%-28s %4d %6d %6d %8.1f (most %4.1f) %8d/%d/%d", c.Scenario, c.Runs, c.Failed, c.Broken, c.ReplicaLostS[0], c.ReplicaLostS[1], c.Refused, c.Unanswered, c.Asked)
		if c.Handed != nil {
			fmt.Fprintf(&b, " %14d %10d", c.Handed[ToNewer], c.Handed[ToEarlier])
		}
		b.WriteString("\n")
	}
	return b.String()
}

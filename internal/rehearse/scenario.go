// Package rehearse injects faults into an emulated deployment and verifies that the
// cluster recovers. It provides scenarios, their runs, records that survive an interruption,
// reports and comparisons.
package rehearse

import (
	"embed"
	"errors"
	"fmt"
	"os"
	"path"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/barrowbridge/barrowbridge/internal/recovery"
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/standin/site"
	"github.com/barrowbridge/barrowbridge/internal/tomlfile"
	"github.com/barrowbridge/barrowbridge/wire"
)

//go:embed scenarios/*.toml scenarios/upgrade/*.toml
var shipped embed.FS

// Scenario describes a rehearsal: the fleet, its work, the faults and the expectations.
// Times are in seconds.
type Scenario struct {
	Name   string   `toml:"name"`
	About  string   `toml:"about"`
	MostS  float64  `toml:"most_s"` // the run fails if it has not ended by then
	From   string   `toml:"from"`   // the version that the controllers begin with; empty: this one; see FromProduction
	Fleet  Fleet    `toml:"fleet"`
	Teams  []Team   `toml:"teams"`
	Jobs   []Job    `toml:"jobs"`
	Crews  []Crew   `toml:"crews"`
	Faults []Fault  `toml:"faults"`
	Expect []Expect `toml:"expect"`
}

// Values of Scenario.From, the version that the controllers begin with: the version in production,
// or this one, so that the same rolling restart can be run without a change of version. An empty
// From means no rolling restart.
const (
	FromProduction = "production"
	FromThis       = "this"
)

// Fleet describes the emulated deployment.
type Fleet struct {
	Controllers int     `toml:"controllers"`
	Machines    int     `toml:"machines"` // permanent machines
	Zones       int     `toml:"zones"`
	Rentable    int     `toml:"rentable"` // rentable machines of each type in each zone
	CPUs        float64 `toml:"cpus"`     // per machine
	MemoryGB    float64 `toml:"memory_gb"`
	BootS       float64 `toml:"boot_s"`
	FetchGBps   float64 `toml:"fetch_gb_per_s"`
	StoreGBps   float64 `toml:"store_gb_per_s"` // shared by all fetches; 0: unlimited, and machines do not serve images to each other
	HandOn      bool    `toml:"hand_on"`        // enabled in the controllers, as is Pace
	Pace        bool    `toml:"pace"`
	ReportS     float64 `toml:"report_s"`
	LeaseS      float64 `toml:"lease_s"`
	CancelS     float64 `toml:"cancel_s"`
	ListLagS    float64 `toml:"list_lag_s"`
	StateRPS    float64 `toml:"state_rps"`
	WriteRPS    float64 `toml:"write_rps"`
	NoticeS     float64 `toml:"notice_s"`
}

// Team is a team's guarantee and limit in CPUs.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
}

// Job is work that is submitted during the rehearsal. Count jobs are submitted,
// EveryS seconds apart, with consecutive IDs.
type Job struct {
	ID       string  `toml:"id"`
	Class    string  `toml:"class"`
	Team     string  `toml:"team"`
	Shape    string  `toml:"shape"`
	Priority string  `toml:"priority"`
	Tasks    int     `toml:"tasks"`
	CPUs     float64 `toml:"cpus"`
	MemoryGB float64 `toml:"memory_gb"`
	RunS     float64 `toml:"run_s"` // run time of a task, varied by up to a third
	ImageGB  float64 `toml:"image_gb"`
	SaveS    float64 `toml:"checkpoint_every_s"`
	Spread   bool    `toml:"spread"`
	Spot     bool    `toml:"spot"`
	Count    int     `toml:"count"`
	EveryS   float64 `toml:"every_s"`
	AtS      float64 `toml:"at_s"`
	When     string  `toml:"when"`
	AfterS   float64 `toml:"after_s"`
	// Awaits lists jobs of the scenario, defined before this one, that must be done before any task of this one
	// starts. This job is submitted once they are accepted.
	Awaits  []string `toml:"awaits"`
	CancelS float64  `toml:"cancel_s"` // the user cancels the job this long after it was accepted; 0: never
}

// Crew is a crew that is put into the calendar when the rehearsal begins.
type Crew struct {
	Name    string   `toml:"name"`
	Team    string   `toml:"team"`
	Classes []string `toml:"classes"`
	LeavesS float64  `toml:"leaves_s"` // counted from the beginning
	Tasks   int      `toml:"expect_tasks"`
	RunS    float64  `toml:"expect_run_s"`
	CPUs    float64  `toml:"expect_cpus"`
}

// Fault is a fault that is staged at AtS, or AfterS after the condition When is met. Conditions:
// "running JOB", "done JOB N" (tasks), "noticed N" and "step N STEP" (of the Nth
// fault), "lifted N", "understood FEATURE" (by every controller).
type Fault struct {
	Kind   string  `toml:"kind"`
	Target string  `toml:"target"`
	Peer   string  `toml:"peer"`
	Mode   string  `toml:"mode"`
	OneWay bool    `toml:"one_way"`
	Value  float64 `toml:"value"`
	ForS   float64 `toml:"for_s"`
	AtS    float64 `toml:"at_s"`
	When   string  `toml:"when"`
	AfterS float64 `toml:"after_s"`
}

func (f Fault) staged() site.Fault {
	return site.Fault{Kind: f.Kind, Target: f.Target, Peer: f.Peer, Mode: f.Mode, OneWay: f.OneWay, Value: f.Value, ForS: f.ForS}
}

// Expect is an expectation that must be met. Kinds: "running" (all tasks of a job, or of every job
// of a class, run within WithinS of their submission), "done" (the job's user
// has received the report), "accepted", "up" (all replicas run for at least Share of the time since they
// first did), "cancelled" (the job's user has received the report), "recovered" (Step of fault number Fault is
// reached within WithinS),
// "starts" (no more than Most tasks were started in all), "handed" (leadership or a shard
// passed from a controller of one version to one of the other, as Step says).
type Expect struct {
	Kind    string  `toml:"kind"`
	Job     string  `toml:"job"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Fault   int     `toml:"fault"`
	Step    string  `toml:"step"`
	Most    int     `toml:"most"`
}

// problem is an invalid setting of a scenario: the key and what is allowed.
type problem struct{ key, allowed string }

func (p *problem) Error() string { return p.key + ": " + p.allowed }

// Parse decodes and validates a scenario. An error is one line with the file, line, key and
// what is allowed.
func Parse(file string, b []byte) (*Scenario, error) {
	var s Scenario
	if err := tomlfile.Decode(file, b, &s); err != nil {
		return nil, err
	}
	s.defaults()
	var p *problem
	if err := s.check(); errors.As(err, &p) {
		return nil, fmt.Errorf("%s:%d: %w", file, lineOf(b, p.key), p)
	}
	return &s, nil
}

// lineOf returns the line of a key such as faults[1].kind, or the line of its table.
func lineOf(b []byte, key string) int {
	table, field, _ := strings.Cut(key, ".")
	name, index := table, 0
	if i := strings.IndexByte(table, '['); i >= 0 {
		name = table[:i]
		index, _ = strconv.Atoi(strings.Trim(table[i:], "[]"))
	}
	at, seen, inside := 1, -1, field == ""
	for i, l := range strings.Split(string(b), "\n") {
		l = strings.TrimSpace(l)
		switch {
		case strings.HasPrefix(l, "["):
			inside = strings.Trim(strings.Fields(l)[0], "[]") == name
			if inside {
				if seen++; seen == index {
					at = i + 1
				}
			}
		case inside && (field == "" || seen == index) && strings.HasPrefix(strings.ReplaceAll(l, " ", ""), orName(field, name)+"="):
			return i + 1
		}
	}
	return at
}

func orName(field, name string) string {
	if field == "" {
		return name
	}
	return field
}

func def[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func (s *Scenario) defaults() {
	f := &s.Fleet
	def(&s.MostS, 60)
	def(&f.Controllers, 3)
	def(&f.Machines, 8)
	def(&f.Zones, 2)
	def(&f.Rentable, 8)
	def(&f.CPUs, 4)
	def(&f.MemoryGB, 16)
	def(&f.BootS, 1.5)
	def(&f.FetchGBps, 2)
	def(&f.ReportS, 1)
	def(&f.LeaseS, 6)
	def(&f.CancelS, 20)
	def(&f.ListLagS, 1.5)
	def(&f.StateRPS, 200)
	def(&f.WriteRPS, 40)
	def(&f.NoticeS, 8)
	if s.Teams == nil {
		s.Teams = []Team{{"red", 12, 24}, {"blue", 12, 24}}
	}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		def(&j.Class, "any")
		def(&j.Shape, wire.ShapeBatch)
		def(&j.Priority, "normal")
		def(&j.Tasks, 1)
		def(&j.CPUs, 1)
		def(&j.MemoryGB, 1)
		def(&j.RunS, 3)
		def(&j.ImageGB, 0.5)
		def(&j.Count, 1)
	}
}

func within(key string, v, min, max float64) error {
	if !(v >= min && v <= max) {
		return &problem{key, fmt.Sprintf("must be from %g to %g, got %g", min, max, v)}
	}
	return nil
}

func oneOf(key, v string, allowed ...string) error {
	if !slices.Contains(allowed, v) {
		return &problem{key, fmt.Sprintf("must be one of %s, got %q", strings.Join(allowed, ", "), v)}
	}
	return nil
}

// first returns the first error that is not nil.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) check() error {
	f := s.Fleet
	if s.Name == "" {
		return &problem{"name", "missing"}
	}
	if err := first(within("most_s", s.MostS, 5, 3600), oneOf("from", s.From, "", FromProduction, FromThis),
		within("fleet.controllers", float64(f.Controllers), 1, 9), within("fleet.machines", float64(f.Machines), 0, 1000),
		within("fleet.zones", float64(f.Zones), 1, 9), within("fleet.rentable", float64(f.Rentable), 0, 1000),
		within("fleet.cpus", f.CPUs, 0.1, 1024), within("fleet.memory_gb", f.MemoryGB, 0.1, 1e6), within("fleet.boot_s", f.BootS, 0.01, 600),
		within("fleet.fetch_gb_per_s", f.FetchGBps, 0.001, 1e4), within("fleet.store_gb_per_s", f.StoreGBps, 0, 1e6), within("fleet.report_s", f.ReportS, 0.5, 60),
		within("fleet.lease_s", f.LeaseS, 3*f.ReportS, 600), within("fleet.cancel_s", f.CancelS, 1.5*f.LeaseS+5, 3600),
		within("fleet.list_lag_s", f.ListLagS, 0, 120), within("fleet.state_rps", f.StateRPS, 10, 1e5), within("fleet.write_rps", f.WriteRPS, 5, 1e5),
		within("fleet.notice_s", f.NoticeS, 0, 600)); err != nil {
		return err
	}
	teams := map[string]bool{}
	for i, t := range s.Teams {
		k := fmt.Sprintf("teams[%d].", i)
		if t.Name == "" || teams[t.Name] {
			return &problem{k + "name", "must be there, once"}
		}
		teams[t.Name] = true
		if err := first(within(k+"cpus", t.CPUs, 0, 1e6), within(k+"cpus_max", t.CPUsMax, t.CPUs, 1e6)); err != nil {
			return err
		}
	}
	ids := map[string]bool{}
	for i := range s.Jobs {
		if err := s.checkJob(i, teams, ids); err != nil {
			return err
		}
	}
	for i, c := range s.Crews {
		if !teams[c.Team] {
			return &problem{fmt.Sprintf("crews[%d].team", i), fmt.Sprintf("%q is no team of the scenario", c.Team)}
		}
		if err := within(fmt.Sprintf("crews[%d].leaves_s", i), c.LeavesS, 1, s.MostS); err != nil {
			return err
		}
	}
	for i := range s.Faults {
		if err := s.checkFault(i, ids); err != nil {
			return err
		}
	}
	for i := range s.Expect {
		if err := s.checkExpect(i, ids); err != nil {
			return err
		}
	}
	if len(s.Jobs) == 0 || len(s.Expect) == 0 {
		return &problem{"name", "a scenario needs jobs, and something to expect"}
	}
	return nil
}

func (s *Scenario) checkJob(i int, teams, ids map[string]bool) error {
	j, k := s.Jobs[i], fmt.Sprintf("jobs[%d].", i)
	if !wire.ValidJobID(j.ID) {
		return &problem{k + "id", "must look like job-000412"}
	}
	if !teams[j.Team] {
		return &problem{k + "team", fmt.Sprintf("%q is no team of the scenario", j.Team)}
	}
	if err := first(oneOf(k+"shape", j.Shape, wire.ShapeBatch, wire.ShapeService), oneOf(k+"priority", j.Priority, "production", "urgent", "normal", "idle"),
		within(k+"tasks", float64(j.Tasks), 1, 10000), within(k+"cpus", j.CPUs, 1e-6, s.Fleet.CPUs), within(k+"memory_gb", j.MemoryGB, 0, s.Fleet.MemoryGB),
		within(k+"run_s", j.RunS, 0.1, 3600), within(k+"image_gb", j.ImageGB, 0, 1000), within(k+"checkpoint_every_s", j.SaveS, 0, 3600),
		within(k+"count", float64(j.Count), 1, 1000), within(k+"every_s", j.EveryS, 0, 600), within(k+"at_s", j.AtS, 0, s.MostS),
		within(k+"after_s", j.AfterS, 0, s.MostS), within(k+"cancel_s", j.CancelS, 0, s.MostS), s.condition(k+"when", j.When, ids)); err != nil {
		return err
	}
	for _, a := range j.Awaits {
		if !ids[a] {
			return &problem{k + "awaits", fmt.Sprintf("%q is no job of the scenario that is listed before", a)}
		}
		if slices.ContainsFunc(s.Jobs[:i], func(o Job) bool {
			return o.Shape == wire.ShapeService && slices.ContainsFunc(o.ids(), func(id string) bool { return id == a })
		}) {
			return &problem{k + "awaits", a + " is a service, which is never done"}
		}
	}
	for n := range j.Count {
		id := jobID(j.ID, n)
		if ids[id] {
			return &problem{k + "id", id + " stands twice"}
		}
		ids[id] = true
	}
	return nil
}

func (s *Scenario) checkFault(i int, ids map[string]bool) error {
	f, k := s.Faults[i], fmt.Sprintf("faults[%d].", i)
	if err := f.staged().Check(); err != nil {
		field, rest, _ := strings.Cut(err.Error(), ": ")
		return &problem{k + field, rest}
	}
	return first(within(k+"at_s", f.AtS, 0, s.MostS), within(k+"after_s", f.AfterS, 0, s.MostS), s.condition(k+"when", f.When, ids))
}

func (s *Scenario) checkExpect(i int, ids map[string]bool) error {
	e, k := s.Expect[i], fmt.Sprintf("expect[%d].", i)
	if err := oneOf(k+"kind", e.Kind, "running", "done", "accepted", "up", "cancelled", "recovered", "starts", "handed"); err != nil {
		return err
	}
	switch e.Kind {
	case "starts":
		return within(k+"most", float64(e.Most), 1, 1e6)
	case "handed":
		return oneOf(k+"step", e.Step, ToNewer, ToEarlier)
	case "recovered":
		return first(within(k+"fault", float64(e.Fault), 1, float64(len(s.Faults))), oneOf(k+"step", e.Step, recovery.StepOrder...),
			within(k+"within_s", e.WithinS, 0.1, s.MostS))
	}
	if (e.Job == "") == (e.Class == "") {
		return &problem{k + "job", "either job or class must be given"}
	}
	if e.Job != "" && !ids[e.Job] {
		return &problem{k + "job", fmt.Sprintf("%q is no job of the scenario", e.Job)}
	}
	if e.Class != "" && !slices.ContainsFunc(s.Jobs, func(j Job) bool { return j.Class == e.Class }) {
		return &problem{k + "class", fmt.Sprintf("%q is no job's class", e.Class)}
	}
	if e.Kind == "up" {
		return within(k+"share", e.Share, 0.01, 1)
	}
	return within(k+"within_s", e.WithinS, 0.1, s.MostS)
}

// condition validates the condition of a when key.
func (s *Scenario) condition(key, when string, ids map[string]bool) error {
	if when == "" {
		return nil
	}
	bad := &problem{key, `must be "running JOB", "done JOB N", "noticed N", "lifted N", "step N STEP" or "understood FEATURE", got "` + when + `"`}
	w := strings.Fields(when)
	number := func(i, most int) bool {
		if i >= len(w) {
			return false
		}
		n, err := strconv.Atoi(w[i])
		return err == nil && n >= 1 && n <= most
	}
	ok := false
	switch w[0] {
	case "running":
		ok = len(w) == 2 && ids[w[1]]
	case "done":
		ok = len(w) == 3 && ids[w[1]] && number(2, 1e6)
	case "understood":
		ok = len(w) == 2 && slices.Contains(rollout.Features(), w[1])
	case "noticed", "lifted":
		ok = len(w) == 2 && number(1, len(s.Faults))
	case "step":
		ok = len(w) == 3 && number(1, len(s.Faults)) && slices.Contains(recovery.StepOrder, w[2])
	}
	if !ok {
		return bad
	}
	return nil
}

// ids returns the IDs of the jobs that are submitted for j.
func (j Job) ids() (out []string) {
	for n := range j.Count {
		out = append(out, jobID(j.ID, n))
	}
	return out
}

// jobID returns the n-th ID after first.
func jobID(first string, n int) string {
	k, _ := strconv.Atoi(strings.TrimPrefix(first, "job-"))
	return fmt.Sprintf("job-%0*d", len(first)-4, k+n)
}

// Names returns the names of the shipped scenarios except those of an upgrade, which need the repository.
func Names() []string { return names("scenarios") }

func names(dir string) (out []string) {
	entries, err := shipped.ReadDir(dir)
	if err != nil {
		return nil
	}
	for _, e := range entries {
		if e.IsDir() {
			continue
		}
		out = append(out, strings.TrimSuffix(e.Name(), ".toml"))
	}
	sort.Strings(out)
	return out
}

// Source returns the text of a shipped scenario or of a file.
func Source(name string) (file string, b []byte, err error) {
	for _, dir := range []string{"scenarios", "scenarios/upgrade"} {
		if b, err := shipped.ReadFile(path.Join(dir, name+".toml")); err == nil {
			return name + ".toml", b, nil
		}
	}
	b, err = os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) && !strings.ContainsAny(name, "./") {
		return name, nil, fmt.Errorf("%s: neither a shipped scenario (%s) nor a file", name, strings.Join(Names(), ", "))
	}
	return name, b, err
}

// Load parses a shipped scenario or a file.
func Load(name string) (*Scenario, error) {
	file, b, err := Source(name)
	if err != nil {
		return nil, err
	}
	return Parse(file, b)
}

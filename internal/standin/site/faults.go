package site

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/cloud"
	"github.com/barrowbridge/barrowbridge/internal/standin/link"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
)

// Fault is a failure that lasts from when it is staged until it is lifted.
type Fault struct {
	Kind   string  `json:"kind" toml:"kind"`
	Target string  `json:"target,omitempty" toml:"target"` // see Resolve
	Peer   string  `json:"peer,omitempty" toml:"peer"`     // link: the other end
	Mode   string  `json:"mode,omitempty" toml:"mode"`     // link: hold, reset, refuse or delay
	OneWay bool    `json:"one_way,omitempty" toml:"one_way"`
	Value  float64 `json:"value,omitempty" toml:"value"` // its meaning depends on the kind
	ForS   float64 `json:"for_s,omitempty" toml:"for_s"` // seconds; 0: until lifted
}

// Kind describes a kind of fault.
type Kind struct {
	Name   string  `json:"kind"`
	Target string  `json:"target,omitempty"` // what Target names; "" if the kind has no target
	Value  string  `json:"value,omitempty"`  // what Value means; "" if the kind has no value
	Min    float64 `json:"min,omitempty"`
	Max    float64 `json:"max,omitempty"`
	Doc    string  `json:"doc"`
}

// Kinds lists every kind of fault, for validation, error messages and documentation.
var Kinds = []Kind{
	{"state_down", "", "", 0, 0, "the state service answers 503 to everybody"},
	{"state_slow", "", "seconds", 0.001, 60, "its answers come so much later"},
	{"state_late", "", "seconds", 0.001, 60, "it executes so much later, whoever still waits"},
	{"state_late_writes", "", "share", 0.01, 1, "this share of changes gets no answer and is executed 2 to 12 s later, after newer ones"},
	{"state_refuses", "controllers", "", 0, 0, "it answers 503 to these controllers alone; their grants run out"},
	{"state_no_writes", "", "", 0, 0, "it answers 503 to changes"},
	{"state_value_kb", "", "KiB", 0.5, 1024, "values have so many KiB at most; more is answered 400"},
	{"state_txn_ops", "", "changes", 2, 1000, "transactions have so many changes at most; more is answered 400"},
	{"state_write_rps", "", "changes a second", 1, 1e5, "so many changes a second at most; more is answered 429"},
	{"state_mute", "controllers", "", 0, 0, "it executes their calls and does not answer"},
	{"watch_too_old", "", "", 0, 0, "watches are told 410"},
	{"cloud_down", "", "", 0, 0, "the cloud answers 503"},
	{"cloud_short", "", "", 0, 0, "nothing can be rented"},
	{"cloud_slow", "", "seconds", 0.001, 60, "its answers come so much later"},
	{"cloud_late", "", "seconds", 0.001, 60, "rentals and deletions are executed so much later"},
	{"cloud_mute", "controllers", "", 0, 0, "it executes their calls and does not answer"},
	{"cloud_unborn", "", "machines", 1, 1000, "so many of the next rentals never come up"},
	{"machine_hang", "machines", "", 0, 0, "the machines stand still, and may go on within their lease"},
	{"machine_die", "machines", "", 0, 0, "the machines stop for good"},
	{"machine_sick", "machines", "cpus", 0, 1e6, "every task there fails, while more than so many cpus are in use"},
	{"machine_slow", "machines", "times", 1, 1000, "tasks there take so many times as long"},
	{"machine_unlisted", "machines", "", 0, 0, "the cloud does not list them, as if they were gone"},
	{"machine_listed", "machines", "", 0, 0, "the cloud goes on listing them after they are gone"},
	{"report_copies", "machines", "seconds", 0.1, 600, "copies of their reports come so much later at most, to any controller, also once they are gone"},
	{"requests_repeated", "", "share", 0.01, 1, "this share of changes, rentals, deletions and direct calls is carried out once more, 0.1 to 20 s later"},
	{"spot_taken", "machines", "notice", 0, 1, "the cloud takes them: with a notice (1) or without (0)"},
	{"link", "parties", "seconds", 0, 60, "what flows between target and peer is held, reset, refused or delayed"},
	{"controller_kill", "controllers", "", 0, 0, "the processes end without a word, and start again when lifted"},
	{"controller_upgrade", "controllers", "version", 0, 1, "the processes end without a word, and start again when lifted, as this version (1) or the earlier one (0)"},
	{"controller_pause", "controllers", "", 0, 0, "the processes stand still"},
	{"controller_slow", "controllers", "share", 0.01, 1, "the processes get this share of the time"},
	{"peers_refuse", "controllers", "", 0, 0, "the other controllers refuse their connections"},
}

func kindOf(name string) *Kind {
	for i := range Kinds {
		if Kinds[i].Name == name {
			return &Kinds[i]
		}
	}
	return nil
}

// Check validates a fault before it is staged. The error is one line: first the
// field, then what is allowed.
func (f Fault) Check() error {
	k := kindOf(f.Kind)
	switch {
	case k == nil:
		names := make([]string, len(Kinds))
		for i := range Kinds {
			names[i] = Kinds[i].Name
		}
		return fmt.Errorf("kind: %q is none of %s", f.Kind, strings.Join(names, ", "))
	case k.Target != "" && f.Target == "":
		return fmt.Errorf("target: %s needs one: %s", f.Kind, k.Target)
	case k.Target == "" && f.Target != "":
		return fmt.Errorf("target: %s has none", f.Kind)
	case k.Value != "" && k.Name != "link" && !(f.Value >= k.Min && f.Value <= k.Max):
		return fmt.Errorf("value: %s must be from %g to %g, got %g", k.Value, k.Min, k.Max, f.Value)
	case k.Value == "" && f.Value != 0:
		return fmt.Errorf("value: %s has none", f.Kind)
	case !(f.ForS >= 0 && f.ForS <= 86400):
		return fmt.Errorf("for_s: must be from 0 to 86400, got %g", f.ForS)
	case f.Kind != "link" && (f.Mode != "" || f.Peer != "" || f.OneWay):
		return fmt.Errorf("mode, peer and one_way belong to link alone")
	case f.Kind != "link":
		return nil
	case f.Peer == "":
		return fmt.Errorf("peer: link needs one")
	}
	switch link.Mode(f.Mode) {
	case link.Hold, link.Reset, link.Refuse:
		return nil
	case link.Delay:
		if !(f.Value >= 0.001 && f.Value <= 60) {
			return fmt.Errorf("value: seconds must be from 0.001 to 60, got %g", f.Value)
		}
		return nil
	}
	return fmt.Errorf("mode: %q is none of hold, reset, refuse, delay", f.Mode)
}

// Active is a staged fault.
type Active struct {
	ID     uint64        `json:"id"`
	Fault  Fault         `json:"fault"`
	Hits   []string      `json:"hits"` // affected parties, as resolved when the fault was staged
	Staged time.Duration `json:"staged_ns"`

	rule  uint64
	timer *time.Timer
}

// faults holds the staged faults; guarded by the site's lock.
type faults struct {
	next          uint64
	active        map[uint64]*Active
	processStates map[string]string // controller -> state of its process: "kill", "pause", its share of the time, or "" if unaffected
}

// Resolve turns a target into names. A target is a comma-separated list of: a name,
// "all" (controllers), "leader", "holder:TEAM", "zone:Z" (its machines and
// controllers), "machines:Z" (machines of a zone, all machines if Z is empty),
// "spot" (spot machines), "machine-of:JOB".
func (s *Site) Resolve(kind, target string) ([]string, error) {
	var out []string
	for _, t := range strings.Split(target, ",") {
		name, arg, _ := strings.Cut(strings.TrimSpace(t), ":")
		switch name {
		case "":
			continue
		case "all":
			out = append(out, s.names...)
		case "leader":
			out = append(out, s.Leader())
		case "holder":
			out = append(out, s.HolderOf(arg))
		case "machine-of":
			out = append(out, s.Running(arg)...)
		case "spot":
			s.mu.Lock()
			for _, n := range s.machineNames() {
				if !s.machines[n].gone && s.cloud.Host(n).Spot {
					out = append(out, n)
				}
			}
			s.mu.Unlock()
		case "zone", "machines":
			s.mu.Lock()
			for _, n := range s.machineNames() {
				if !s.machines[n].gone && (arg == "" || s.cloud.Host(n).Zone == arg) {
					out = append(out, n)
				}
			}
			s.mu.Unlock()
			for _, n := range s.names {
				if name == "zone" && s.ZoneOf(n) == arg {
					out = append(out, n)
				}
			}
		default:
			out = append(out, strings.TrimSpace(t))
		}
	}
	return s.filterTargets(kind, target, out)
}

// filterTargets returns the names that a kind of fault can affect, or an error if there are none.
func (s *Site) filterTargets(kind, target string, names []string) ([]string, error) {
	want := "parties"
	if k := kindOf(kind); k != nil {
		want = k.Target
	}
	var out []string
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range names {
		m := s.machines[n]
		isMachine, isController := m != nil && !m.gone, s.controllers[n] != nil
		switch {
		case want == "machines" && isMachine, want == "controllers" && isController,
			want == "parties" && (isMachine || isController || n == PartyState || n == PartyCloud || n == PartyUsers):
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("target: %q names no %s", target, strings.TrimSuffix(want, "s"))
	}
	sort.Strings(out)
	return slices.Compact(out), nil
}

// Stage starts a fault.
func (s *Site) Stage(f Fault) (Active, error) {
	if err := f.Check(); err != nil {
		return Active{}, err
	}
	a := &Active{Fault: f}
	var peers []string
	var err error
	if f.Target != "" {
		if a.Hits, err = s.Resolve(f.Kind, f.Target); err != nil {
			return Active{}, err
		}
	}
	if f.Kind == "link" {
		if peers, err = s.Resolve(f.Kind, f.Peer); err != nil {
			return Active{}, fmt.Errorf("peer: %w", err)
		}
	}
	switch f.Kind {
	case "link":
		a.rule = s.Net.Add(link.Rule{From: memberOf(a.Hits), To: memberOf(peers), Mode: link.Mode(f.Mode), OneWay: f.OneWay, Delay: seconds(f.Value)})
	case "peers_refuse":
		a.rule = s.Net.Add(link.Rule{From: memberOf(a.Hits), To: func(p string) bool { return s.controllers[p] != nil && !slices.Contains(a.Hits, p) }, Mode: link.Refuse})
	}
	s.mu.Lock()
	if s.faults.active == nil {
		s.faults.active, s.faults.processStates = map[uint64]*Active{}, map[string]string{}
	}
	s.faults.next++
	a.ID, a.Staged = s.faults.next, s.Now()
	s.faults.active[a.ID] = a
	s.applyOneTime(a)
	after := s.apply()
	if f.ForS > 0 {
		id := a.ID
		a.timer = time.AfterFunc(seconds(f.ForS), func() { s.Lift(id) })
	}
	out := *a
	s.mu.Unlock()
	after()
	s.log.Info("fault staged", "kind", f.Kind, "hits", out.Hits, "for_s", f.ForS)
	return out, nil
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

func memberOf(names []string) func(string) bool {
	return func(p string) bool { return slices.Contains(names, p) }
}

// applyOneTime applies the effects that a fault has only once, when it is staged.
func (s *Site) applyOneTime(a *Active) {
	now := s.Now()
	switch a.Fault.Kind {
	case "cloud_unborn":
		s.cloud.Trouble.Unborn += int(a.Fault.Value)
	case "machine_die":
		for _, n := range a.Hits {
			s.cloud.Die(now, n)
			s.machineGone(now, n)
		}
	case "controller_upgrade":
		for _, n := range a.Hits {
			s.controllers[n].earlier.Store(a.Fault.Value < 1)
		}
	case "spot_taken":
		for _, n := range a.Hits {
			s.cloud.Take(now, n, a.Fault.Value > 0)
		}
		s.cloudEvents(now, s.cloud.Advance(now))
	}
}

// Lift ends a fault. It reports whether the fault was staged.
func (s *Site) Lift(id uint64) bool {
	s.mu.Lock()
	a := s.faults.active[id]
	if a == nil {
		s.mu.Unlock()
		return false
	}
	delete(s.faults.active, id)
	if a.timer != nil {
		a.timer.Stop()
	}
	after := s.apply()
	s.mu.Unlock()
	if a.rule != 0 {
		s.Net.Remove(a.rule)
	}
	after()
	s.log.Info("fault lifted", "kind", a.Fault.Kind, "hits", a.Hits)
	return true
}

// LiftAll ends every fault.
func (s *Site) LiftAll() {
	for _, a := range s.Faults() {
		s.Lift(a.ID)
	}
}

// Faults returns the staged faults, oldest first.
func (s *Site) Faults() (out []Active) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.faults.active {
		out = append(out, *a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// apply recomputes all effects from the active faults, so that faults of the same
// kind may overlap and each can be lifted separately. The caller holds the site's
// lock; the function returned changes the controllers' processes and must be called
// after the lock is released.
func (s *Site) apply() func() {
	now := s.Now()
	st, cl := &s.store.Trouble, &s.cloud.Trouble
	st.Down, st.NoWrites, st.TooOld, cl.Down, cl.Short = false, false, false, false, false
	for _, m := range []map[string]bool{st.Refused, cl.Hidden, cl.Ghosts, s.mute} {
		clear(m)
	}
	clear(s.slow)
	clear(s.late)
	s.lateWrites, s.repeats = 0, 0
	clear(s.copies)
	sick, processStates := map[string]worker.Fault{}, map[string]string{}
	limits := s.Spec.State
	for _, a := range s.faults.active {
		f := a.Fault
		switch f.Kind {
		case "state_down":
			st.Down = true
		case "state_no_writes":
			st.NoWrites = true
		case "state_value_kb":
			limits.ValueBytes = min(limits.ValueBytes, int(f.Value*1024))
		case "state_txn_ops":
			limits.TxnOps = min(limits.TxnOps, int(f.Value))
		case "state_write_rps":
			limits.WriteRPS = min(limits.WriteRPS, f.Value)
		case "watch_too_old":
			st.TooOld = true
		case "cloud_down":
			cl.Down = true
		case "cloud_short":
			cl.Short = true
		case "state_late_writes":
			s.lateWrites = max(s.lateWrites, f.Value)
		case "requests_repeated":
			s.repeats = max(s.repeats, f.Value)
		case "state_slow", "cloud_slow":
			p := strings.TrimSuffix(f.Kind, "_slow")
			s.slow[p] = max(s.slow[p], seconds(f.Value))
		case "state_late", "cloud_late":
			p := strings.TrimSuffix(f.Kind, "_late")
			s.late[p] = max(s.late[p], seconds(f.Value))
		}
		for _, n := range a.Hits {
			s.applyTo(n, f, sick, processStates)
		}
	}
	if limits != s.limits {
		s.limits = limits
		s.store.Limit(now, limits)
	}
	for _, name := range s.machineNames() {
		m, want := s.machines[name], sick[name]
		if m.gone {
			continue
		}
		hung := m.Fault.Hung
		m.Fault = want
		switch {
		case want.Hung && !hung:
			m.resumed = make(chan struct{})
		case hung && !want.Hung:
			m.Fault.Hung = true // Resume ends it
			m.lapsed = !m.Leased(now)
			s.drive(now, name, m, m.Resume(now))
			m.lapsed = false
			close(m.resumed)
			m.resumed = nil
		}
		s.drive(now, name, m, nil)
	}
	return func() { s.updateProcesses(processStates) }
}

// applyTo adds the effects of one fault on one party.
func (s *Site) applyTo(n string, f Fault, sick map[string]worker.Fault, processStates map[string]string) {
	m := sick[n]
	switch f.Kind {
	case "state_refuses":
		s.store.Trouble.Refused[n] = true
	case "state_mute":
		s.mute[PartyState+"/"+n] = true
	case "cloud_mute":
		s.mute[PartyCloud+"/"+n] = true
	case "machine_unlisted":
		s.cloud.Trouble.Hidden[n] = true
	case "machine_listed":
		s.cloud.Trouble.Ghosts[n] = true
	case "report_copies":
		s.copies[n] = max(s.copies[n], seconds(f.Value))
	case "machine_hang":
		m.Hung = true
	case "machine_sick":
		m.Sick, m.SickAbove = true, f.Value
	case "machine_slow":
		m.Slow = max(m.Slow, f.Value)
	case "controller_kill", "controller_upgrade":
		processStates[n] = "kill"
	case "controller_pause":
		if processStates[n] != "kill" {
			processStates[n] = "pause"
		}
	case "controller_slow":
		if processStates[n] == "" {
			processStates[n] = fmt.Sprint(f.Value)
		}
	}
	sick[n] = m
}

// updateProcesses puts the controllers' processes into the states that the active faults require.
func (s *Site) updateProcesses(want map[string]string) {
	for _, n := range s.names {
		s.mu.Lock()
		old, c := s.faults.processStates[n], s.controllers[n]
		s.faults.processStates[n] = want[n]
		s.mu.Unlock()
		if old == want[n] || c == nil {
			continue
		}
		switch old { // leave the old state
		case "":
		case "kill":
			if want[n] != "kill" && s.ctx.Err() == nil {
				if err := c.Run(); err != nil {
					s.log.Error("controller could not be restarted", "err", err.Error())
				}
			}
		case "pause":
			c.Pause(false)
		default:
			c.Slow(1)
		}
		switch want[n] {
		case "":
		case "kill":
			c.Kill()
		case "pause":
			c.Pause(true)
		default:
			var share float64
			_, _ = fmt.Sscan(want[n], &share)
			c.Slow(share)
		}
	}
}

// addOwnMachine adds one of the operator's own machines in a zone.
func (s *Site) addOwnMachine(zone string) {
	s.cloud.Stand(s.Now(), cloud.Place{Type: s.Spec.Type.Name, Zone: zone}, 0)
}

func sortedTeams(m map[string]Team) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

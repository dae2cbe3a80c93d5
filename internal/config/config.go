// Package config reads and validates the settings file that the platform provides.
package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"

	"github.com/pelletier/go-toml/v2"

	"github.com/barrowbridge/barrowbridge/internal/conversion"
	"github.com/barrowbridge/barrowbridge/internal/membership"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
)

// Config is the content of the settings file. Unknown keys in the file are ignored.
type Config struct {
	Node       string   `toml:"node_name"`
	Zone       string   `toml:"zone"`
	Listen     string   `toml:"client_listen"`
	PeerListen string   `toml:"peer_bind"`
	Peers      []Peer   `toml:"siblings"`
	Services   Services `toml:"outside"`
	Params     Params   `toml:"params"`
	// Switches are read from a separate file.
	Switches Switches `toml:"-"`
}

// Peer is another controller.
type Peer struct {
	Node string `toml:"node_name"`
	Zone string `toml:"zone"`
	Addr string `toml:"peer_addr"`
}

// Services holds the addresses of the outside services.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Params describes the deployment.
type Params struct {
	Nodes      int         `toml:"nodes"`
	Zones      []string    `toml:"zones"`
	SkewMS     float64     `toml:"skew_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"machine_limits"`
}

// Team is a team with its guarantee and its limit in CPUs and GPUs. 0 means no guarantee or no limit
// (see MaxUsage).
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// MaxUsage returns how many CPUs and GPUs the team's tasks may use at a time; +Inf means no limit.
// Guest teams come without guarantee and limit: when 0 was read as a limit of nothing, each of
// their jobs was refused for ever. A team that has a limit on CPUs and none on GPUs has not been
// permitted any GPUs, so its limit on GPUs is 0.
func (t Team) MaxUsage() (cpus, gpus float64) {
	cpus, gpus = t.CPUsMax, t.GPUsMax
	if cpus == 0 {
		cpus = math.Inf(1)
		if gpus == 0 {
			gpus = math.Inf(1)
		}
	}
	return cpus, gpus
}

// Objective is one of the users' service objectives for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	AfterS  float64 `toml:"after_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers holds the workers' report interval, lease and cancellation timeout, in seconds.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// State holds the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds limits that the service will apply from some later time, without notice.
	Next StateNext `toml:"next"`
}

// StateNext holds future limits of the state service; nil means unchanged.
type StateNext struct {
	RPS      *float64 `toml:"rps"`
	WriteRPS *float64 `toml:"write_rps"`
	ValueKB  *float64 `toml:"value_kb"`
	TxnOps   *int     `toml:"txn_ops"`
}

// Strictest returns the smaller of the present and the next value of each limit. It is not known when
// the next limits begin, so every write keeps to both from the start.
func (s State) Strictest() State {
	least := func(to *float64, next *float64) {
		if next != nil {
			*to = min(*to, *next)
		}
	}
	least(&s.RPS, s.Next.RPS)
	least(&s.WriteRPS, s.Next.WriteRPS)
	least(&s.ValueKB, s.Next.ValueKB)
	if s.Next.TxnOps != nil {
		s.TxnOps = min(s.TxnOps, *s.Next.TxnOps)
	}
	return s
}

// check returns an error for a limit that is set to an impossible value.
func (n StateNext) check(positive func(field string, v float64) error) error {
	for _, f := range []struct {
		field string
		v     *float64
	}{{"rps", n.RPS}, {"write_rps", n.WriteRPS}, {"value_kb", n.ValueKB}} {
		if f.v == nil {
			continue
		}
		if err := positive("params.state.next."+f.field, *f.v); err != nil {
			return err
		}
	}
	if n.TxnOps != nil && *n.TxnOps < 2 {
		return fmt.Errorf("params.state.next.txn_ops: must be at least 2, got %d", *n.TxnOps)
	}
	return nil
}

// Cloud holds the rate limit of the cloud's API, and by how many seconds its list of machines lags.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits holds the resources that the machine provides for this process.
type Limits struct {
	CPUShare   float64 `toml:"cpu_share"`
	MemoryMB   float64 `toml:"memory_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// check returns an error if leases could not expire within cancel_s: while the state service cannot
// be reached, only their expiry ends the tasks of a cancelled job.
func (w Workers) check() error {
	seconds := conversion.Seconds
	if membership.MaxUnconfirmed(seconds(w.LeaseS), seconds(w.CancelS)) < tuning.MinUnconfirmed {
		least := membership.LeaseExpiredAfter(seconds(w.LeaseS)) + tuning.MinUnconfirmed*4/3
		return fmt.Errorf("params.workers.cancel_s: must be at least %.2f with lease_s %v, got %v", least.Seconds()+0.005, w.LeaseS, w.CancelS)
	}
	return nil
}

// Load reads and validates a settings file.
func Load(path string) (*Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse decodes and validates settings.
func Parse(b []byte) (*Config, error) {
	var c Config
	if err := toml.Unmarshal(b, &c); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			return nil, fmt.Errorf("line %d: %s: %s", row, joinKey(de.Key()), de.Error())
		}
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return &c, nil
}

// joinKey returns the dotted form of a key, or "syntax" if there is none.
func joinKey(k toml.Key) string {
	s := ""
	for i, p := range k {
		if i > 0 {
			s += "."
		}
		s += p
	}
	if s == "" {
		return "syntax"
	}
	return s
}

// check returns the first error in the settings, naming the key.
func (c *Config) check() error {
	addr := func(field, v string) error {
		host, port, err := net.SplitHostPort(v)
		if err != nil {
			return fmt.Errorf("%s: must be ip:port, got %q", field, v)
		}
		if net.ParseIP(host) == nil {
			return fmt.Errorf("%s: must hold an IP number, got %q", field, v)
		}
		if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
			return fmt.Errorf("%s: bad port in %q", field, v)
		}
		return nil
	}
	positive := func(field string, v float64) error {
		if math.IsNaN(v) || math.IsInf(v, 0) || v <= 0 {
			return fmt.Errorf("%s: must be a number above 0, got %v", field, v)
		}
		return nil
	}
	errs := []error{}
	if c.Node == "" {
		errs = append(errs, errors.New("node_name: missing"))
	}
	errs = append(errs,
		addr("client_listen", c.Listen), addr("peer_bind", c.PeerListen),
		addr("outside.cloud", c.Services.Cloud), addr("outside.state", c.Services.State),
		positive("params.workers.report_s", c.Params.Workers.ReportS),
		positive("params.workers.lease_s", c.Params.Workers.LeaseS),
		positive("params.workers.cancel_s", c.Params.Workers.CancelS),
		c.Params.Workers.check(),
		positive("params.state.rps", c.Params.State.RPS),
		positive("params.state.write_rps", c.Params.State.WriteRPS),
		positive("params.state.value_kb", c.Params.State.ValueKB),
		positive("params.cloud.rps", c.Params.Cloud.RPS),
	)
	errs = append(errs, c.Params.State.Next.check(positive))
	if c.Params.State.TxnOps < 2 {
		errs = append(errs, fmt.Errorf("params.state.txn_ops: must be at least 2, got %d", c.Params.State.TxnOps))
	}
	if c.Params.Cloud.ListLagS < 0 {
		errs = append(errs, errors.New("params.cloud.list_lag_s: must not be negative"))
	}
	machine := c.Params.Limits
	if machine.CPUShare < 0 || machine.MemoryMB < 0 || machine.MaxSockets < 0 {
		errs = append(errs, errors.New("params.machine_limits: must not be negative"))
	}
	if len(c.Params.Teams) == 0 {
		errs = append(errs, errors.New("params.teams: at least one team is needed"))
	}
	seen := map[string]bool{}
	for i, t := range c.Params.Teams {
		prefix := fmt.Sprintf("params.teams[%d]", i)
		switch {
		case t.Name == "":
			errs = append(errs, fmt.Errorf("%s.name: missing", prefix))
		case seen[t.Name]:
			errs = append(errs, fmt.Errorf("%s.name: %q stands twice", prefix, t.Name))
		case !(t.CPUs >= 0) || !(t.GPUs >= 0):
			errs = append(errs, fmt.Errorf("%s: a guarantee must not be negative", prefix))
		case t.CPUsMax != 0 && !(t.CPUsMax >= t.CPUs):
			errs = append(errs, fmt.Errorf("%s.cpus_max: must be at least cpus, or 0 for no limit", prefix))
		case t.GPUsMax != 0 && !(t.GPUsMax >= t.GPUs):
			errs = append(errs, fmt.Errorf("%s.gpus_max: must be at least gpus, or 0", prefix))
		}
		seen[t.Name] = true
	}
	nodes := map[string]bool{c.Node: true}
	for i, p := range c.Peers {
		prefix := fmt.Sprintf("siblings[%d]", i)
		if p.Node == "" {
			errs = append(errs, fmt.Errorf("%s.node_name: missing", prefix))
		} else if nodes[p.Node] {
			errs = append(errs, fmt.Errorf("%s.node_name: %q stands twice", prefix, p.Node))
		}
		nodes[p.Node] = true
		errs = append(errs, addr(prefix+".peer_addr", p.Addr))
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

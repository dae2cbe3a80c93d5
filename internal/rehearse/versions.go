package rehearse

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/cborhttp"
	"github.com/barrowbridge/barrowbridge/internal/load"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Changes of leader or holder between versions, as named in expectations and results.
const (
	ToNewer   = "old to new"
	ToEarlier = "new to old"
)

const (
	versionsInterval = 500 * time.Millisecond // interval of requests to the controllers for the features that they hold back
	// rollbackSeenWithin is how long a controller may run the earlier version again before the others must
	// know of it: the duration of its state lease, its presence, and the watch that reports it.
	rollbackSeenWithin = 8 * time.Second
)

// programs holds the paths of the programs that the controllers run.
type programs struct{ this, earlier string }

// programs returns the programs that the scenarios need, and builds the earlier version if needed.
func (p Plan) programs(ctx context.Context, items []item) (programs, error) {
	this, err := Program()
	if err != nil {
		return programs{}, err
	}
	for _, i := range items {
		if i.sc.From != FromProduction {
			continue
		}
		if p.Earlier == nil {
			return programs{}, fmt.Errorf("%s begins with the version in production, and the plan has no function to build it", i.sc.Name)
		}
		earlier, err := p.Earlier(ctx)
		return programs{this, earlier}, err
	}
	return programs{this: this}, nil
}

// source returns the text of a scenario from p.Sources, of a shipped one or of a file.
func (p Plan) source(name string) (file string, b []byte, err error) {
	if s, ok := p.Sources[name]; ok {
		return name + ".toml", []byte(s), nil
	}
	return Source(name)
}

// incarnation is one incarnation of a controller: the time of its start and which version it ran.
type incarnation struct {
	node    string
	fromS   float64
	earlier bool
}

// heldVersion is a controller's last answer about features, and its time.
type heldVersion struct {
	at   time.Duration
	on   map[string]bool
	held map[string][]string
}

// readVersions asks every running controller of this version which features are enabled, and which
// controllers it holds the others back for. A controller without an answer has no entry in r.rolled.
func (r *rehearsal) readVersions(ctx context.Context) {
	for _, n := range r.site.Names() {
		c := r.site.Controller(n)
		r.mu.Lock()
		delete(r.rolled, n)
		r.mu.Unlock()
		if !c.Alive() || c.Earlier() {
			continue
		}
		one, cancel := context.WithTimeout(ctx, trailInterval)
		status, raw, err := cborhttp.RoundTrip(one, r.http, http.MethodGet, "http://"+r.site.Direct(n)+"/admin/v1/version", nil)
		cancel()
		var v wire.VersionView
		if err != nil || status != http.StatusOK || wire.Unmarshal(raw, &v) != nil {
			continue
		}
		h := heldVersion{at: r.now(), on: map[string]bool{}, held: map[string][]string{}}
		for _, f := range v.Features {
			h.on[f.Feature], h.held[f.Feature] = f.On, f.HeldFor
		}
		r.mu.Lock()
		r.rolled[n] = h
		r.checkEarlyFeatures(n, h)
		r.mu.Unlock()
	}
}

// checkEarlyFeatures records a feature that is enabled although a controller runs the earlier version, or
// will run it when it is started again. The caller holds the lock.
func (r *rehearsal) checkEarlyFeatures(node string, h heldVersion) {
	for _, n := range r.site.Names() {
		if !r.site.Controller(n).Earlier() {
			continue
		}
		since := 0.0
		for _, l := range r.incarnations {
			if l.node == n && l.earlier {
				since = l.fromS
			}
			if l.node == n && !l.earlier {
				since = h.at.Seconds() // its first incarnation that runs the earlier version again has not begun
			}
		}
		for f, on := range h.on {
			if on && h.at.Seconds()-since > rollbackSeenWithin.Seconds() {
				r.tooEarly = append(r.tooEarly, Broken{Rule: "held_back", AtS: h.at.Seconds(), What: fmt.Sprintf("%s has %s on, and %s runs the earlier version", node, f, n)})
			}
		}
	}
}

// early returns the features that were enabled too early, once each.
func (r *rehearsal) early() (out []Broken) {
	seen := map[string]bool{}
	for _, b := range r.tooEarly {
		if !seen[b.What] {
			seen[b.What] = true
			out = append(out, b)
		}
	}
	return out
}

// understood reports whether the last answers of all controllers say that a feature is enabled.
func (r *rehearsal) understood(feature string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.site.Names() {
		if h, ok := r.rolled[n]; !ok || !h.on[feature] {
			return false
		}
	}
	return true
}

// versionAt reports whether a controller ran the earlier version at a time. For a time before the
// scenario began it uses the controller's first incarnation.
func (r *rehearsal) versionAt(node string, s float64) (earlier bool) {
	first := true
	for _, l := range r.incarnations {
		if l.node == node && (first || l.fromS <= s) {
			earlier, first = l.earlier, false
		}
	}
	return earlier
}

// handed counts the changes of leader and holders between versions. The caller holds the lock.
func (r *rehearsal) handed() map[string]int {
	if r.sc.From != FromProduction {
		return nil
	}
	out := map[string]int{ToNewer: 0, ToEarlier: 0}
	last := map[string]bool{}
	for _, spans := range [][]Span{r.line.Leaders, r.line.Shards} {
		for _, s := range spans {
			now := r.versionAt(s.Who, s.FromS)
			if was, ok := last[s.What]; ok && was != now {
				if now {
					out[ToEarlier]++
				} else {
					out[ToNewer]++
				}
			}
			last[s.What] = now
		}
	}
	return out
}

func (r *rehearsal) judgeHanded(e Expect) Objective {
	o := Objective{What: "leader or holder " + e.Step, Want: 1, Unit: "times"}
	if r.sc.From != FromProduction { // all controllers run the same version
		o.Want, o.Met = 0, true
		return o
	}
	o.Got = float64(r.handed()[e.Step])
	o.Met = o.Got >= o.Want
	return o
}

// countedUsers passes the users' observations to a site's checker and counts refused requests.
type countedUsers struct {
	load.SiteUsers
	r *rehearsal
}

func (u *countedUsers) count(status int) {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	if u.r.over != 0 {
		return
	}
	u.r.cost.Asked++
	switch status {
	case 0:
		u.r.cost.Unanswered++
	case http.StatusServiceUnavailable:
		u.r.cost.Refused++
	}
}

func (u *countedUsers) Submitted(asked time.Duration, id string, status int, st wire.JobStatus) {
	u.count(status)
	u.SiteUsers.Submitted(asked, id, status, st)
}

func (u *countedUsers) Polled(asked time.Duration, id string, status int, st wire.JobStatus) {
	u.count(status)
	u.SiteUsers.Polled(asked, id, status, st)
}

func (u *countedUsers) Aborted(asked time.Duration, id string, status int, st wire.JobStatus) {
	u.count(status)
	u.SiteUsers.Aborted(asked, id, status, st)
}

package assignment

import (
	"maps"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Limits are the durations for which reachability reports and answers count, by the owner's
// monotonic clock, and the number of machines of a shard that may be missing.
type Limits struct {
	ReportTTL           time.Duration // a report received from a peer is used for this long, then the stored one
	ReachableFor        time.Duration // a peer counts as reachable for this long after its last answer to a ping
	UnreachableAfter    time.Duration // a peer without an answer for longer than this is reported as unreachable
	CloudAnswerTTL      time.Duration // the cloud counts as reached for this long after an answered call was sent
	ReturnHomeAfter     time.Duration // a shard may return home once its home has been present for longer than this
	AllowedMissing      int           // machines of a shard that may be missing at any size
	AllowedMissingShare int           // for larger shards: one machine in this many may be missing
}

// TooManyMissing reports whether more of a shard's machines are missing than independent
// failures explain.
func (l Limits) TooManyMissing(missing, total int) bool {
	return missing > max(l.AllowedMissing, total/l.AllowedMissingShare)
}

// Self is the owner's own state, as needed for its reports and decisions.
type Self struct {
	Boot    uint64
	Leading bool
	Leader  string // the current leader, as far as known
}

// Tracker records which workers, peers and outside services the controllers reach, by the owner's
// own measurements and the reachability reports of the other controllers.
type Tracker struct {
	self            string
	zones           map[string]string    // zone of every controller
	present         map[string]wire.Node // belongs to the owner, only read here
	workers         *reach.Workers
	cloud           *reach.Link
	rules           Rules
	limits          Limits
	stored          map[string]wire.ReachReport // reports by controller, as stored in the state service
	received        map[string]receivedReport   // last report received from each peer directly
	answeredAt      map[string]time.Duration    // when each peer last answered a ping
	lackedWorkersAt map[string]time.Duration    // when each controller was last known to lack workers
	missingShards   []int                       // held shards with too many missing machines
	startedAt       time.Duration               // time of the first Update
	shownLevels     map[string]reach.Level      // link levels last returned by ChangedLinks
}

// receivedReport is a report that a peer sent, and when it arrived.
type receivedReport struct {
	report wire.ReachReport
	at     time.Duration
}

// NewTracker returns a tracker without reports. present holds the controllers that are present;
// workers and cloud measure what the owner reaches itself.
func NewTracker(self string, zones map[string]string, present map[string]wire.Node, workers *reach.Workers, cloud *reach.Link, rules Rules, limits Limits) *Tracker {
	return &Tracker{
		self:            self,
		zones:           zones,
		present:         present,
		workers:         workers,
		cloud:           cloud,
		rules:           rules,
		limits:          limits,
		stored:          map[string]wire.ReachReport{},
		received:        map[string]receivedReport{},
		answeredAt:      map[string]time.Duration{},
		lackedWorkersAt: map[string]time.Duration{},
		shownLevels:     map[string]reach.Level{},
	}
}

// SetStored records a controller's report as stored in the state service.
func (t *Tracker) SetStored(node string, report wire.ReachReport) { t.stored[node] = report }

// RemoveStored records that the state service no longer holds a report of a controller.
func (t *Tracker) RemoveStored(node string) { delete(t.stored, node) }

// Stored returns a controller's report as stored in the state service.
func (t *Tracker) Stored(node string) wire.ReachReport { return t.stored[node] }

// ReportReceived records a report that a controller has sent to us directly.
func (t *Tracker) ReportReceived(now time.Duration, node string, report wire.ReachReport) {
	t.received[node] = receivedReport{report, now}
}

// PingAnswered records that a controller has answered a ping.
func (t *Tracker) PingAnswered(now time.Duration, node string) { t.answeredAt[node] = now }

// Reachable reports whether a controller has answered a ping of ours recently.
func (t *Tracker) Reachable(now time.Duration, node string) bool {
	at, ok := t.answeredAt[node]
	return ok && now-at <= t.limits.ReachableFor
}

// ReachableOrSelf reports whether messages get through to a controller, which may be ourselves.
func (t *Tracker) ReachableOrSelf(now time.Duration, node string) bool {
	return node == t.self || t.Reachable(now, node)
}

// WorkerProxy returns a reachable controller through which workers can be called, if we reach none
// ourselves. It returns "" if we reach workers or there is no such controller.
func (t *Tracker) WorkerProxy(now time.Duration) string {
	if !t.workers.LacksWorkers(now) {
		return ""
	}
	for _, n := range t.others() {
		if t.Reachable(now, n) && !t.Latest(now, n).NoWorkers {
			return n
		}
	}
	return ""
}

// Latest returns the newest known report of a controller: the one it sent to us, while that is
// recent, else the stored one if its present incarnation wrote it, else an empty report.
func (t *Tracker) Latest(now time.Duration, node string) wire.ReachReport {
	if received, ok := t.received[node]; ok && now-received.at < t.limits.ReportTTL {
		return received.report
	}
	if stored := t.stored[node]; stored.Boot == t.present[node].Boot {
		return stored
	}
	return wire.ReachReport{}
}

// OwnReport returns our own reachability report for the other controllers.
func (t *Tracker) OwnReport(now time.Duration, self Self) wire.ReachReport {
	report := t.workers.Report(now)
	report.Boot, report.DegradedShards = self.Boot, t.missingShards
	cloud := t.cloud.Evaluate(now)
	report.NoCloud = self.Leading && cloud.Level == reach.Down
	report.CloudAnswers = !self.Leading && cloud.Level == reach.Up && now-t.cloud.LastAnswered() < t.limits.CloudAnswerTTL && t.Latest(now, self.Leader).NoCloud
	for _, n := range t.others() {
		if now-max(t.answeredAt[n], t.startedAt) > t.limits.UnreachableAfter {
			report.UnreachableNodes = append(report.UnreachableNodes, n)
		}
	}
	return report
}

// reportOf returns the newest known report of a controller, which may be ourselves.
func (t *Tracker) reportOf(now time.Duration, self Self, node string) wire.ReachReport {
	if node == t.self {
		return t.OwnReport(now, self)
	}
	return t.Latest(now, node)
}

// others returns the other controllers that are present, sorted.
func (t *Tracker) others() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(t.present)), func(n string) bool { return n == t.self })
}

// Update records how many machines of each held shard are missing; total returns how many machines
// a shard has. It also records which controllers lack workers now.
func (t *Tracker) Update(now time.Duration, missing map[int]int, total func(shard int) int) {
	if t.startedAt == 0 {
		t.startedAt = now
	}
	t.missingShards = nil
	for _, i := range slices.Sorted(maps.Keys(missing)) {
		if t.limits.TooManyMissing(missing[i], total(i)) {
			t.missingShards = append(t.missingShards, i)
		}
	}
	if t.workers.LacksWorkers(now) {
		t.lackedWorkersAt[t.self] = now
	}
	for _, n := range t.others() {
		if t.Latest(now, n).NoWorkers {
			t.lackedWorkersAt[n] = now
		}
	}
}

// SoughtShards returns the shards whose holders ask the other controllers whether they reach the
// shard's machines, without those that we hold ourselves.
func (t *Tracker) SoughtShards(now time.Duration, holdsShard func(shard int) bool) map[int]bool {
	sought := map[int]bool{}
	for _, n := range t.others() {
		for _, i := range t.Latest(now, n).SilentShards {
			if !holdsShard(i) {
				sought[i] = true
			}
		}
	}
	return sought
}

// Members returns the controllers that are present, with what they report about a shard. held is
// the number of shards that each controller holds.
func (t *Tracker) Members(now time.Duration, self Self, shard int, held map[string]int) (members []Member) {
	for _, n := range slices.Sorted(maps.Keys(t.present)) {
		report := t.reportOf(now, self, n)
		member := Member{
			Node:         n,
			Zone:         t.present[n].Zone,
			HeldShards:   held[n],
			LacksWorkers: report.NoWorkers,
			Reachable:    t.Reachable(now, n),
		}
		for _, h := range report.SampledShards {
			if h.Shard == shard {
				member.Reach = &Reach{Total: h.Called, Reached: h.Answered}
			}
		}
		members = append(members, member)
	}
	return members
}

// TransferTarget returns the controller to which we should transfer a held shard, or "" if we
// should keep it. total is the number of machines expected to report; silent is how long none or
// few of them have reported.
func (t *Tracker) TransferTarget(now time.Duration, self Self, shard, total int, silent time.Duration, home string, held map[string]int) string {
	others := slices.DeleteFunc(t.Members(now, self, shard, held), func(m Member) bool { return m.Node == t.self })
	total, reached := t.workers.Reached(shard, total)
	return t.rules.TransferTarget(Reach{Total: total, Reached: reached}, silent, home, t.zones, others)
}

// HolderChanged takes a new version of a shard's record. A home that is present and no longer holds
// its shard has transferred it because it lacks workers. It counts as lacking workers from then on
// because its report of that may be withdrawn before the network partition ends.
func (t *Tracker) HolderChanged(now time.Duration, old, rec *wire.Shard) {
	if home, present := t.present[rec.Home]; present && old.Holder == rec.Home && rec.Holder != rec.Home && home.Boot == old.Boot {
		t.lackedWorkersAt[rec.Home] = now
	}
}

// MayReturnHome reports whether a shard may be returned to its home controller, which has been
// present since the given time and holds that many shards.
func (t *Tracker) MayReturnHome(now time.Duration, self Self, shard int, rec *wire.Shard, since time.Duration, held int) bool {
	if !rec.Settled {
		return false
	}
	holder, presentFor := t.reportOf(now, self, rec.Holder), now-since
	if lackedAt, ever := t.lackedWorkersAt[rec.Home]; ever {
		presentFor = min(presentFor, now-lackedAt)
	}
	home := Member{Node: rec.Home, HeldShards: held, LacksWorkers: t.reportOf(now, self, rec.Home).NoWorkers}
	return t.rules.MayReturnHome(home, slices.Contains(holder.DegradedShards, shard), presentFor, t.limits.ReturnHomeAfter)
}

// LeadershipTarget returns the controller to which we should leave leadership because we do not
// reach the cloud, or "" to keep it. In an outage of the cloud that affects all controllers none of
// them has had a recent answer, so leadership stays.
func (t *Tracker) LeadershipTarget(now time.Duration, self Self) string {
	if !t.OwnReport(now, self).NoCloud {
		return ""
	}
	var others []Member
	for _, n := range t.others() {
		report := t.Latest(now, n)
		others = append(others, Member{Node: n, ReachesCloud: report.CloudAnswers, LacksWorkers: report.NoWorkers})
	}
	return NextLeader(others)
}

// Link is the level of one of our links.
type Link struct {
	To    string
	Level reach.Level
}

// ChangedLinks returns the links whose level has changed since the last call. state is the level of
// the link to the state service.
func (t *Tracker) ChangedLinks(now time.Duration, state reach.Level) (changed []Link) {
	workers := reach.Up
	if t.workers.LacksWorkers(now) {
		workers = reach.Down
	}
	for _, l := range []Link{{"state", state}, {"cloud", t.cloud.Evaluate(now).Level}, {"workers", workers}} {
		if old, shown := t.shownLevels[l.To]; !shown || old != l.Level {
			t.shownLevels[l.To] = l.Level
			changed = append(changed, l)
		}
	}
	return changed
}

// View returns the status of all links for operators: to the state service, to the cloud, to the
// other controllers and to the workers of the held shards. through is the peer through which the
// state service is called, "" if it is called directly.
func (t *Tracker) View(now time.Duration, state reach.LinkStatus, through string, held []int) wire.ReachView {
	link := state.View(now, "state")
	link.Through = through
	view := wire.ReachView{
		Node:    t.self,
		Reports: []wire.ReachReportView{},
		Links:   []wire.LinkView{link, t.cloud.Evaluate(now).View(now, "cloud")},
	}
	for _, n := range slices.Sorted(maps.Keys(t.zones)) {
		if n != t.self {
			at, ever := t.answeredAt[n]
			view.Links = append(view.Links, reach.PeerLinkView(n, now, at, ever, t.Reachable(now, n)))
		}
	}
	for _, i := range held {
		view.Links = append(view.Links, reach.ShardLinkView(i, t.workers.SilentFor(now, i)))
	}
	if t.workers.LacksWorkers(now) {
		view.Links = append(view.Links, wire.LinkView{To: "workers", Level: reach.Down.String(), Why: "none reports, none that was called answers"})
	}
	for _, n := range t.others() {
		view.Reports = append(view.Reports, t.Latest(now, n).View(n))
	}
	return view
}

package assignment

import (
	"maps"
	"slices"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Limits are the times by which words count, in the owner's steady time, and what is many.
type Limits struct {
	ReportTTL           time.Duration // a word that a peer spoke counts for so long, then the one it wrote
	ReachableFor        time.Duration // an answer to a ping shows for so long that messages get through
	UnreachableAfter    time.Duration // a controller that has not answered for so long is named as out of reach
	CloudAnswerTTL      time.Duration // an answer of the cloud shows for so long that it is reached
	ReturnHomeAfter     time.Duration // a shard goes back to its home once that has been present for so long
	AllowedMissing      int           // machines of a shard that may be missed
	AllowedMissingShare int           // and one in so many
}

// Many tells whether so many of a shard's machines are more than fail by themselves.
func (l Limits) TooManyMissing(missing, total int) bool {
	return missing > max(l.AllowedMissing, total/l.AllowedMissingShare)
}

// Self is what a controller knows of itself, as asked of a book.
type Self struct {
	Boot    uint64
	Leading bool
	Leader  string // who leads, as far as is known
}

// Book is what one controller knows of what it and the others reach, by their words.
type Tracker struct {
	self            string
	zones           map[string]string    // of all controllers
	present         map[string]wire.Node // the owner's, read only
	workers         *reach.Workers
	cloud           *reach.Link
	rules           Rules
	limits          Limits
	stored          map[string]wire.Reach     // by controller, as the state has them
	received        map[string]receivedReport // as peers last told us
	answeredAt      map[string]time.Duration
	lackedWorkersAt map[string]time.Duration // when a controller last lacked workers, as far as we know
	missingShards   []int                    // held shards of whose machines many are missed
	startedAt       time.Duration            // when the owner began to judge
	shownLevels     map[string]reach.Level   // links, as last told
}

type receivedReport struct {
	report wire.Reach
	at     time.Duration
}

// NewBook returns a book without words. present are the controllers that are present; workers and
// cloud are what the owner reaches of these.
func NewTracker(self string, zones map[string]string, present map[string]wire.Node, workers *reach.Workers, cloud *reach.Link, rules Rules, limits Limits) *Tracker {
	return &Tracker{self: self, zones: zones, present: present, workers: workers, cloud: cloud, rules: rules, limits: limits, stored: map[string]wire.Reach{},
		received: map[string]receivedReport{}, answeredAt: map[string]time.Duration{}, lackedWorkersAt: map[string]time.Duration{}, shownLevels: map[string]reach.Level{}}
}

// Wrote takes a controller's word as the state has it, Withdrew that it is there no more.
func (t *Tracker) SetStored(node string, report wire.Reach) { t.stored[node] = report }
func (t *Tracker) RemoveStored(node string)                 { delete(t.stored, node) }

// Written is a controller's word as the state has it.
func (t *Tracker) Stored(node string) wire.Reach { return t.stored[node] }

// Spoke takes a controller's word from itself.
func (t *Tracker) ReportReceived(now time.Duration, node string, report wire.Reach) {
	t.received[node] = receivedReport{report, now}
}

// Answered notes that a controller has answered a ping.
func (t *Tracker) PingAnswered(now time.Duration, node string) { t.answeredAt[node] = now }

// Near tells whether a controller has answered us just now.
func (t *Tracker) Reachable(now time.Duration, node string) bool {
	at, ok := t.answeredAt[node]
	return ok && now-at <= t.limits.ReachableFor
}

// Hears tells whether messages between us and a controller, or ourselves, get through.
func (t *Tracker) ReachableOrSelf(now time.Duration, node string) bool {
	return node == t.self || t.Reachable(now, node)
}

// ToWorkers is a controller that reaches workers and that we reach, if we reach none ourselves; "":
// there is none, or we do.
func (t *Tracker) WorkerProxy(now time.Duration) string {
	if !t.workers.LacksWorkers(now) {
		return ""
	}
	for _, n := range t.others() {
		if t.Reachable(now, n) && !t.Latest(now, n).Lacks {
			return n
		}
	}
	return ""
}

// Of is a controller's newest word that we have.
func (t *Tracker) Latest(now time.Duration, node string) wire.Reach {
	if received, ok := t.received[node]; ok && now-received.at < t.limits.ReportTTL {
		return received.report
	}
	if stored := t.stored[node]; stored.Boot == t.present[node].Boot {
		return stored
	}
	return wire.Reach{}
}

// Own is what the others should know of us.
func (t *Tracker) OwnReport(now time.Duration, self Self) wire.Reach {
	report := t.workers.Report(now)
	report.Boot, report.Misses = self.Boot, t.missingShards
	cloud := t.cloud.Evaluate(now)
	report.NoCloud = self.Leading && cloud.Level == reach.Down
	report.Cloud = !self.Leading && cloud.Level == reach.Up && now-t.cloud.LastAnswered() < t.limits.CloudAnswerTTL && t.Latest(now, self.Leader).NoCloud
	for _, n := range t.others() {
		if now-max(t.answeredAt[n], t.startedAt) > t.limits.UnreachableAfter {
			report.Apart = append(report.Apart, n)
		}
	}
	return report
}

// word is a controller's newest word, or our own.
func (t *Tracker) reportOf(now time.Duration, self Self, node string) wire.Reach {
	if node == t.self {
		return t.OwnReport(now, self)
	}
	return t.Latest(now, node)
}

// others are the other controllers that are present, sorted.
func (t *Tracker) others() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(t.present)), func(n string) bool { return n == t.self })
}

// Watch takes how many machines of each held shard are missed, and how many it has.
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
		if t.Latest(now, n).Lacks {
			t.lackedWorkersAt[n] = now
		}
	}
}

// Sought are the shards that others hold and seek the workers of.
func (t *Tracker) SoughtShards(now time.Duration, holdsShard func(shard int) bool) map[int]bool {
	sought := map[int]bool{}
	for _, n := range t.others() {
		for _, i := range t.Latest(now, n).Seeks {
			if !holdsShard(i) {
				sought[i] = true
			}
		}
	}
	return sought
}

// Members are the controllers that are present, with their words on a shard. held is how many
// shards each holds.
func (t *Tracker) Members(now time.Duration, self Self, shard int, held map[string]int) (members []Member) {
	for _, n := range slices.Sorted(maps.Keys(t.present)) {
		report := t.reportOf(now, self, n)
		member := Member{Node: n, Zone: t.present[n].Zone, HeldShards: held[n], LacksWorkers: report.Lacks, Reachable: t.Reachable(now, n)}
		for _, h := range report.Hears {
			if h.Shard == shard {
				member.Reach = &Reach{Total: h.Of, Reached: h.Heard}
			}
		}
		members = append(members, member)
	}
	return members
}

// GiveTo is the controller to whom a held shard is given, of which so many machines are expected
// and none or few have been heard for silent; "": it stays.
func (t *Tracker) TransferTarget(now time.Duration, self Self, shard, total int, silent time.Duration, home string, held map[string]int) string {
	others := slices.DeleteFunc(t.Members(now, self, shard, held), func(m Member) bool { return m.Node == t.self })
	total, reached := t.workers.Reached(shard, total)
	return t.rules.TransferTarget(Reach{Total: total, Reached: reached}, silent, home, t.zones, others)
}

// Moved takes a new version of a shard's record. A controller that is present and no longer holds its
// own has given it away, as one that lacks workers; its word of that may end sooner than the cut.
func (t *Tracker) HolderChanged(now time.Duration, old, rec *wire.Shard) {
	if home, present := t.present[rec.Home]; present && old.Holder == rec.Home && rec.Holder != rec.Home && home.Boot == old.Boot {
		t.lackedWorkersAt[rec.Home] = now
	}
}

// GoesHome tells whether a shard may go back to the controller it is homed at, which has been
// present since up and holds so many.
func (t *Tracker) MayReturnHome(now time.Duration, self Self, shard int, rec *wire.Shard, since time.Duration, held int) bool {
	if !rec.Settled {
		return false
	}
	holder, presentFor := t.reportOf(now, self, rec.Holder), now-since
	if lackedAt, ever := t.lackedWorkersAt[rec.Home]; ever {
		presentFor = min(presentFor, now-lackedAt)
	}
	home := Member{Node: rec.Home, HeldShards: held, LacksWorkers: t.reportOf(now, self, rec.Home).Lacks}
	return t.rules.MayReturnHome(home, slices.Contains(holder.Misses, shard), presentFor, t.limits.ReturnHomeAfter)
}

// LeadTo is the controller to whom we leave leadership for want of the cloud, or "". In an outage
// of the cloud that all share nobody has just been answered there.
func (t *Tracker) LeadershipTarget(now time.Duration, self Self) string {
	if !t.OwnReport(now, self).NoCloud {
		return ""
	}
	var others []Member
	for _, n := range t.others() {
		report := t.Latest(now, n)
		others = append(others, Member{Node: n, ReachesCloud: report.Cloud, LacksWorkers: report.Lacks})
	}
	return NextLeader(others)
}

// Link is what is believed of a link.
type Link struct {
	To    string
	Level reach.Level
}

// Turned lists the links of which something else is believed than when last asked; state is the
// level of that to the state service.
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

// View is what is believed of all links, for operators: that to the state service, the way around
// it ("": none), the cloud, the other controllers and the workers of the held shards.
func (t *Tracker) View(now time.Duration, state reach.LinkStatus, through string, held []int) wire.ReachView {
	link := state.View(now, "state")
	link.Through = through
	view := wire.ReachView{Node: t.self, Words: []wire.ReachWord{}, Links: []wire.LinkView{link, t.cloud.Evaluate(now).View(now, "cloud")}}
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
		view.Words = append(view.Words, t.Latest(now, n).Told(n))
	}
	return view
}

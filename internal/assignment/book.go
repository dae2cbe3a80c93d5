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
	Keep  time.Duration // a word that a peer spoke counts for so long, then the one it wrote
	Near  time.Duration // an answer to a ping shows for so long that messages get through
	Apart time.Duration // a controller that has not answered for so long is named as out of reach
	Cloud time.Duration // an answer of the cloud shows for so long that it is reached
	Home  time.Duration // a shard goes back to its home once that has been present for so long
	Few   int           // machines of a shard that may be missed
	Share int           // and one in so many
}

// Many tells whether so many of a shard's machines are more than fail by themselves.
func (l Limits) Many(missed, of int) bool { return missed > max(l.Few, of/l.Share) }

// Self is what a controller knows of itself, as asked of a book.
type Self struct {
	Boot    uint64
	Leading bool
	Leader  string // who leads, as far as is known
}

// Book is what one controller knows of what it and the others reach, by their words.
type Book struct {
	self    string
	zones   map[string]string    // of all controllers
	present map[string]wire.Node // the owner's, read only
	workers *reach.Workers
	cloud   *reach.Link
	rules   Rules
	limits  Limits
	written map[string]wire.Reach // by controller, as the state has them
	spoken  map[string]spoken     // as peers last told us
	heard   map[string]time.Duration
	lacked  map[string]time.Duration // when a controller last lacked workers, as far as we know
	misses  []int                    // held shards of whose machines many are missed
	began   time.Duration            // when the owner began to judge
	shown   map[string]reach.Level   // links, as last told
}

type spoken struct {
	word wire.Reach
	at   time.Duration
}

// NewBook returns a book without words. present are the controllers that are present; workers and
// cloud are what the owner reaches of these.
func NewBook(self string, zones map[string]string, present map[string]wire.Node, workers *reach.Workers, cloud *reach.Link, r Rules, l Limits) *Book {
	return &Book{self: self, zones: zones, present: present, workers: workers, cloud: cloud, rules: r, limits: l, written: map[string]wire.Reach{},
		spoken: map[string]spoken{}, heard: map[string]time.Duration{}, lacked: map[string]time.Duration{}, shown: map[string]reach.Level{}}
}

// Wrote takes a controller's word as the state has it, Withdrew that it is there no more.
func (b *Book) Wrote(node string, w wire.Reach) { b.written[node] = w }
func (b *Book) Withdrew(node string)            { delete(b.written, node) }

// Written is a controller's word as the state has it.
func (b *Book) Written(node string) wire.Reach { return b.written[node] }

// Spoke takes a controller's word from itself.
func (b *Book) Spoke(now time.Duration, node string, w wire.Reach) { b.spoken[node] = spoken{w, now} }

// Answered notes that a controller has answered a ping.
func (b *Book) Answered(now time.Duration, node string) { b.heard[node] = now }

// Near tells whether a controller has answered us just now.
func (b *Book) Near(now time.Duration, node string) bool {
	at, ok := b.heard[node]
	return ok && now-at <= b.limits.Near
}

// Hears tells whether messages between us and a controller, or ourselves, get through.
func (b *Book) Hears(now time.Duration, node string) bool { return node == b.self || b.Near(now, node) }

// ToWorkers is a controller that reaches workers and that we reach, if we reach none ourselves; "":
// there is none, or we do.
func (b *Book) ToWorkers(now time.Duration) string {
	if !b.workers.Lacks(now) {
		return ""
	}
	for _, n := range b.others() {
		if b.Near(now, n) && !b.Of(now, n).Lacks {
			return n
		}
	}
	return ""
}

// Of is a controller's newest word that we have.
func (b *Book) Of(now time.Duration, node string) wire.Reach {
	if s, ok := b.spoken[node]; ok && now-s.at < b.limits.Keep {
		return s.word
	}
	if w := b.written[node]; w.Boot == b.present[node].Boot {
		return w
	}
	return wire.Reach{}
}

// Own is what the others should know of us.
func (b *Book) Own(now time.Duration, s Self) wire.Reach {
	w := b.workers.Word(now)
	w.Boot, w.Misses = s.Boot, b.misses
	j := b.cloud.Judge(now)
	w.NoCloud = s.Leading && j.Level == reach.Down
	w.Cloud = !s.Leading && j.Level == reach.Up && now-b.cloud.LastOK() < b.limits.Cloud && b.Of(now, s.Leader).NoCloud
	for _, n := range b.others() {
		if now-max(b.heard[n], b.began) > b.limits.Apart {
			w.Apart = append(w.Apart, n)
		}
	}
	return w
}

// word is a controller's newest word, or our own.
func (b *Book) word(now time.Duration, s Self, node string) wire.Reach {
	if node == b.self {
		return b.Own(now, s)
	}
	return b.Of(now, node)
}

// others are the other controllers that are present, sorted.
func (b *Book) others() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(b.present)), func(n string) bool { return n == b.self })
}

// Watch takes how many machines of each held shard are missed, and how many it has.
func (b *Book) Watch(now time.Duration, missed map[int]int, of func(shard int) int) {
	if b.began == 0 {
		b.began = now
	}
	b.misses = nil
	for _, i := range slices.Sorted(maps.Keys(missed)) {
		if b.limits.Many(missed[i], of(i)) {
			b.misses = append(b.misses, i)
		}
	}
	if b.workers.Lacks(now) {
		b.lacked[b.self] = now
	}
	for _, n := range b.others() {
		if b.Of(now, n).Lacks {
			b.lacked[n] = now
		}
	}
}

// Sought are the shards that others hold and seek the workers of.
func (b *Book) Sought(now time.Duration, mine func(shard int) bool) map[int]bool {
	sought := map[int]bool{}
	for _, n := range b.others() {
		for _, i := range b.Of(now, n).Seeks {
			if !mine(i) {
				sought[i] = true
			}
		}
	}
	return sought
}

// Members are the controllers that are present, with their words on a shard. held is how many
// shards each holds.
func (b *Book) Members(now time.Duration, s Self, shard int, held map[string]int) (out []Member) {
	for _, n := range slices.Sorted(maps.Keys(b.present)) {
		w := b.word(now, s, n)
		m := Member{Node: n, Zone: b.present[n].Zone, Held: held[n], Lacks: w.Lacks, Near: b.Near(now, n)}
		for _, h := range w.Hears {
			if h.Shard == shard {
				m.Reaches = &Reach{Of: h.Of, Heard: h.Heard}
			}
		}
		out = append(out, m)
	}
	return out
}

// GiveTo is the controller to whom a held shard is given, of which so many machines are expected
// and none or few have been heard for silent; "": it stays.
func (b *Book) GiveTo(now time.Duration, s Self, shard, of int, silent time.Duration, home string, held map[string]int) string {
	others := slices.DeleteFunc(b.Members(now, s, shard, held), func(m Member) bool { return m.Node == b.self })
	of, heard := b.workers.Reached(shard, of)
	return b.rules.GiveTo(Reach{Of: of, Heard: heard}, silent, home, b.zones, others)
}

// Moved takes a new version of a shard's record. A controller that is present and no longer holds its
// own has given it away, as one that lacks workers; its word of that may end sooner than the cut.
func (b *Book) Moved(now time.Duration, old, rec *wire.Shard) {
	if n, here := b.present[rec.Home]; here && old.Holder == rec.Home && rec.Holder != rec.Home && n.Boot == old.Boot {
		b.lacked[rec.Home] = now
	}
}

// GoesHome tells whether a shard may go back to the controller it is homed at, which has been
// present since up and holds so many.
func (b *Book) GoesHome(now time.Duration, s Self, shard int, rec *wire.Shard, since time.Duration, held int) bool {
	if !rec.Settled {
		return false
	}
	holder, up := b.word(now, s, rec.Holder), now-since
	if lacked, ever := b.lacked[rec.Home]; ever {
		up = min(up, now-lacked)
	}
	home := Member{Node: rec.Home, Held: held, Lacks: b.word(now, s, rec.Home).Lacks}
	return b.rules.GoesHome(home, slices.Contains(holder.Misses, shard), up, b.limits.Home)
}

// LeadTo is the controller to whom we leave leadership for want of the cloud, or "". In an outage
// of the cloud that all share nobody has just been answered there.
func (b *Book) LeadTo(now time.Duration, s Self) string {
	if !b.Own(now, s).NoCloud {
		return ""
	}
	var others []Member
	for _, n := range b.others() {
		w := b.Of(now, n)
		others = append(others, Member{Node: n, Cloud: w.Cloud, Lacks: w.Lacks})
	}
	return Leader(others)
}

// Link is what is believed of a link.
type Link struct {
	To    string
	Level reach.Level
}

// Turned lists the links of which something else is believed than when last asked; state is the
// level of that to the state service.
func (b *Book) Turned(now time.Duration, state reach.Level) (out []Link) {
	workers := reach.Up
	if b.workers.Lacks(now) {
		workers = reach.Down
	}
	for _, l := range []Link{{"state", state}, {"cloud", b.cloud.Judge(now).Level}, {"workers", workers}} {
		if old, shown := b.shown[l.To]; !shown || old != l.Level {
			b.shown[l.To] = l.Level
			out = append(out, l)
		}
	}
	return out
}

// View is what is believed of all links, for operators: that to the state service, the way around
// it ("": none), the cloud, the other controllers and the workers of the held shards.
func (b *Book) View(now time.Duration, state reach.Judgement, through string, held []int) wire.ReachView {
	link := state.View(now, "state")
	link.Through = through
	v := wire.ReachView{Node: b.self, Words: []wire.ReachWord{}, Links: []wire.LinkView{link, b.cloud.Judge(now).View(now, "cloud")}}
	for _, n := range slices.Sorted(maps.Keys(b.zones)) {
		if n != b.self {
			at, ever := b.heard[n]
			v.Links = append(v.Links, reach.Answers(n, now, at, ever, b.Near(now, n)))
		}
	}
	for _, i := range held {
		v.Links = append(v.Links, reach.Machines(i, b.workers.Silent(now, i)))
	}
	if b.workers.Lacks(now) {
		v.Links = append(v.Links, wire.LinkView{To: "workers", Level: reach.Down.String(), Why: "none reports, none that was called answers"})
	}
	for _, n := range b.others() {
		v.Words = append(v.Words, b.Of(now, n).Told(n))
	}
	return v
}

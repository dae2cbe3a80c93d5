package reach

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var linkLimits = LinkLimits{Late: 600 * ms, Down: 1500 * ms, Back: time.Second, BackMax: 8 * time.Second, Window: time.Minute}

func TestDoubtBeforeCertainty(t *testing.T) {
	l := NewLink(linkLimits)
	want := func(now time.Duration, level Level, why string) {
		t.Helper()
		if j := l.Judge(now); j.Level != level || j.Why != why {
			t.Fatalf("at %v: %+v, want %v, %q", now, j, level, why)
		}
	}
	want(0, Unknown, "")
	l.Sent(0, 1)
	l.Done(10*ms, 1, 0, Answered)
	want(10*ms, Up, "answers")
	l.Sent(1000*ms, 2)
	want(1500*ms, Up, "answers")
	want(1600*ms, Doubt, "an answer is late")
	// One late answer is no proof, however long ago it was.
	want(9*time.Second, Doubt, "an answer is late")
	l.Done(9*time.Second, 2, 1000*ms, Answered)
	want(9*time.Second, Up, "answers")
	// A failure that is older than an answer says nothing.
	l.Done(9500*ms, 3, 500*ms, Silent)
	want(9500*ms, Up, "answers")
	l.Done(10*time.Second, 4, 9900*ms, Refused)
	// An answer to a call from before the refusal does not speak against it.
	l.Done(10100*ms, 8, 9800*ms, Answered)
	want(10*time.Second, Doubt, "refused")
	l.Done(11*time.Second, 5, 10*time.Second, Silent)
	want(11400*ms, Doubt, "refused")
	want(11500*ms, Down, "refused")
	// Back only after answers for a second.
	l.Done(12*time.Second, 6, 12*time.Second, Answered)
	want(12*time.Second, Down, "refused")
	l.Done(13*time.Second, 7, 13*time.Second, Answered)
	want(13*time.Second, Up, "answers again")
}

// Answers that come, and late, raise what counts as late, up to a limit; one that comes soon
// ends that. A link that is slow is not taken for cut, and one that is cut while slow is.
func TestSlowIsNoCut(t *testing.T) {
	limits := linkLimits
	limits.Slowest = 1500 * ms
	l := NewLink(limits)
	at := time.Duration(0)
	ask := func(took time.Duration) (doubted time.Duration) {
		l.Sent(at, uint64(at))
		for d := time.Duration(0); d < took; d += 50 * ms {
			if j := l.Judge(at + d); j.Level > Up && doubted == 0 {
				doubted = d
			}
		}
		if took < 1500*ms {
			l.Done(at+took, uint64(at), at, Answered)
		}
		at += took + 500*ms
		return doubted
	}
	for i, x := range []struct{ took, doubted time.Duration }{
		{10 * ms, 0}, {1200 * ms, 600 * ms}, // the first that is late is doubted
		{1200 * ms, 0}, {1400 * ms, 0}, {700 * ms, 0}, {1300 * ms, 0},
		{10 * ms, 0}, {800 * ms, 600 * ms}, // it is quick again: late is late
		{3 * time.Second, 1500 * ms}, // slow, and then cut
	} {
		if got := ask(x.took); got != x.doubted {
			t.Errorf("call %d, answered after %v: doubted after %v, want %v", i, x.took, got, x.doubted)
		}
	}
}

// A link that is up for three seconds and down for three falls a few times, each time for
// longer, and then stays down.
func TestFlappingLinkStaysDown(t *testing.T) {
	l := NewLink(linkLimits)
	falls, id := 0, uint64(0)
	was := Up
	for now := time.Duration(0); now < 60*time.Second; now += 250 * ms {
		o := Answered
		if now/(3*time.Second)%2 == 1 {
			o = Silent
		}
		id++
		l.Done(now, id, now, o)
		j := l.Judge(now).Level
		if j == Down && was != Down {
			falls++
		}
		was = j
	}
	if falls > 3 {
		t.Errorf("judged down %d times in ten flaps", falls)
	}
}

// Whatever happens, a link that answered just now and was not down is up, and none is
// judged down without two reasons since its last answer.
func TestLinkProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLink(linkLimits)
		now, reasons := time.Duration(0), 0
		for id := uint64(1); id < 60; id++ {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * ms
			before := l.Judge(now).Level
			o := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
			l.Done(now, id, now, o)
			if o == Answered {
				reasons = 0
			} else {
				reasons++
			}
			j := l.Judge(now)
			if o == Answered && before != Down && j.Level != Up {
				t.Fatalf("answers and is %v", j.Level)
			}
			if j.Level == Down && before != Down && reasons < 2 {
				t.Fatalf("down for %d reasons", reasons)
			}
		}
	})
}

func TestRoutes(t *testing.T) {
	r := NewRoutes(time.Second, 2)
	want := func(now time.Duration, peer string, hops int) {
		t.Helper()
		if p, h := r.Best(now); p != peer || h != hops {
			t.Fatalf("at %v: %q %d, want %q %d", now, p, h, peer, hops)
		}
	}
	want(0, "", 0)
	r.Offer(0, "b", 1)
	want(0, "b", 2)
	r.Offer(0, "c", 0)
	want(0, "c", 1)
	r.Offer(100*ms, "a", 0)
	want(100*ms, "c", 1) // an equal one is no reason to change
	r.Offer(200*ms, "c", -1)
	want(200*ms, "a", 1)
	want(1050*ms, "a", 1) // b's word has grown old
	want(1200*ms, "", 0)
	r.Offer(1200*ms, "b", 2)
	want(1200*ms, "", 0) // too far
}

func TestCrowd(t *testing.T) {
	l := CrowdLimits{Every: 5 * time.Second, Least: time.Second, Gaps: 15, Most: 2.5, Ask: 5, Asked: 1.3}
	for _, c := range []struct {
		what string
		now  time.Duration
		c    Crowd
		want Level
	}{
		{"no machines", 9 * time.Second, Crowd{}, Unknown},
		{"450 machines, silent for half a second", 500 * ms, Crowd{450, 400, 0}, Up},
		{"450 machines, silent for over a second", 1100 * ms, Crowd{450, 400, 0}, Down},
		{"one machine between two reports", 6 * time.Second, Crowd{1, 1, 0}, Up},
		{"one machine, a report late", 7 * time.Second, Crowd{1, 1, 0}, Asking},
		{"ten machines, silent for three seconds", 3 * time.Second, Crowd{10, 9, 0}, Asking},
		{"one machine, silent for two and a half reports", 13 * time.Second, Crowd{1, 0, 0}, Down},
		{"most of them away", 100 * ms, Crowd{100, 30, 0}, Doubt},
	} {
		if got := l.Judge(c.now, c.c); got != c.want {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

func TestSample(t *testing.T) {
	s := NewSample(0, Spread([]string{"a", "b", "c", "d", "e", "f", "g", "h"}, 4))
	for _, m := range []string{"a", "a", "b", "c"} { // b was not asked
		s.Answered(m)
	}
	if of, heard, ready := s.Result(500*ms, time.Second); of != 4 || heard != 2 || ready {
		t.Errorf("%d of %d, ready %v", heard, of, ready)
	}
	if _, _, ready := s.Result(time.Second, time.Second); !ready {
		t.Error("its time is over")
	}
}

// A holder asks its machines when they are silent for longer than chance has it, and knows
// that it is cut off once none that was called answers; one that answers says otherwise.
func TestHolderFindsItselfCutOff(t *testing.T) {
	limits := WorkerLimits{Crowd: CrowdLimits{Every: 2 * time.Second, Least: time.Second, Gaps: 15, Most: 2.5, Ask: 5, Asked: 1.3},
		Probe: 1200 * ms, Wait: 500 * ms, Sample: 2, Again: 3 * time.Second}
	pick := func(shard, n int) []string {
		if shard == Anywhere {
			return []string{"x", "y"}
		}
		return []string{"a", "b"}
	}
	for _, answers := range []bool{false, true} {
		w := NewWorkers(limits)
		var silentAt, lacksAt time.Duration
		for now := time.Duration(0); now < 8*time.Second; now += 100 * ms {
			if now <= time.Second {
				w.Heard(now, 7, "a")
			}
			w.Watch(now, map[int]Crowd{7: {Of: 6, Heard: 6}})
			for _, m := range w.Probe(now, nil, pick) {
				if answers && now < 5*time.Second {
					w.Answered(now, 7, m)
				}
			}
			if silentAt == 0 && w.Silent(now, 7) > 0 {
				silentAt = now
			}
			if lacksAt == 0 && w.Lacks(now) {
				lacksAt = now
			}
		}
		// Reports that stay away for two and a half intervals are lost, whoever answers calls.
		if answers && (silentAt < 6*time.Second || silentAt > 6200*ms || lacksAt > 0 && lacksAt < silentAt) {
			t.Errorf("its machines answer calls, and it gives up at %v, %v", silentAt, lacksAt)
		}
		if !answers && (silentAt == 0 || silentAt > 4*time.Second || lacksAt == 0) {
			t.Errorf("all is silent since 1 s: known at %v, lacks workers at %v", silentAt, lacksAt)
		}
	}
}

// A shard that another seeks is sampled at once, and the word of it goes when it is no
// longer sought; nothing is called without need while workers report.
func TestSoughtShardIsSampled(t *testing.T) {
	w := NewWorkers(WorkerLimits{Crowd: CrowdLimits{Every: 2 * time.Second, Least: time.Second, Gaps: 15, Most: 2.5, Ask: 5, Asked: 1.3},
		Probe: 1200 * ms, Wait: 500 * ms, Sample: 4, Again: 3 * time.Second})
	pick := func(shard, n int) []string { return []string{"a", "b", "c"}[:min(n, 3)] }
	w.Heard(0, Anywhere, "z")
	if got := w.Probe(0, nil, pick); got != nil {
		t.Fatalf("called without need: %v", got)
	}
	if got := w.Probe(100*ms, map[int]bool{3: true}, pick); len(got) != 3 {
		t.Fatalf("called %v", got)
	}
	w.Answered(200*ms, Anywhere, "a")
	w.Answered(200*ms, Anywhere, "c")
	w.Probe(600*ms, map[int]bool{3: true}, pick)
	if r := w.Word(700 * ms); len(r.Hears) != 1 || r.Hears[0].Shard != 3 || r.Hears[0].Of != 3 || r.Hears[0].Heard != 2 {
		t.Fatalf("the word is %+v", r)
	}
	w.Probe(700*ms, nil, pick)
	if r := w.Word(700 * ms); r.Hears != nil {
		t.Fatalf("no longer sought, and the word is %+v", r)
	}
}

// Who gave a shard away counts as cut off for a while, longer each time, even if workers
// answer its calls; a report that comes ends it.
func TestDeafAfterGivingAway(t *testing.T) {
	w := NewWorkers(WorkerLimits{Crowd: CrowdLimits{Every: time.Second, Least: time.Second, Gaps: 15, Most: 2.5, Ask: 5, Asked: 1.3},
		Probe: 1200 * ms, Wait: 500 * ms, Sample: 4, Again: 3 * time.Second, Deaf: 30 * time.Second, DeafMax: time.Minute})
	now := time.Duration(0)
	var until []time.Duration
	for range 3 {
		w.Watch(now, map[int]Crowd{7: {Of: 6}})
		for range 40 { // silent for four reports
			now += 100 * ms
			w.Watch(now, map[int]Crowd{7: {Of: 6}})
		}
		w.Answered(now, 7, "a")
		w.Watch(now, map[int]Crowd{7: {Of: 6}})
		w.Watch(now, nil) // given away
		began := now
		for w.Lacks(now) {
			now += time.Second
		}
		until = append(until, now-began)
	}
	if until[0] != 30*time.Second || until[1] != time.Minute || until[2] != time.Minute {
		t.Errorf("cut off for %v", until)
	}
	w.Watch(now, map[int]Crowd{7: {Of: 6}})
	for range 40 {
		now += 100 * ms
		w.Watch(now, map[int]Crowd{7: {Of: 6}})
	}
	w.Watch(now, nil)
	if !w.Lacks(now) {
		t.Error("given away, and not cut off")
	}
	if w.Heard(now, Anywhere, "b"); w.Lacks(now) {
		t.Error("a worker reports, and it counts as cut off")
	}
}

// A process that stood still for seconds takes nothing for silent that it slept through.
func TestSleepIsNoSilence(t *testing.T) {
	w := NewWorkers(WorkerLimits{Crowd: CrowdLimits{Every: 5 * time.Second, Least: time.Second, Gaps: 15, Most: 2.5, Ask: 5, Asked: 1.3}})
	held := map[int]Crowd{7: {Of: 450, Heard: 450}}
	w.Watch(0, held)
	w.Heard(100*ms, 7, "a")
	w.Watch(200*ms, held)
	if w.Watch(9*time.Second, held); w.Silent(9*time.Second, 7) != 0 {
		t.Error("silent while it stood still")
	}
	for now := 9 * time.Second; now < 11*time.Second; now += 200 * ms {
		w.Watch(now, held)
	}
	if w.Silent(11*time.Second, 7) == 0 {
		t.Error("450 machines are silent for two seconds, and it does not see it")
	}
}

// A holder that hears few of its machines calls some, and seeks others who reach them: at once if few
// answer, else once reports stay away all the same. Reports of the few go on, and do not say that it is
// cut off no more.
func TestHolderOfFewMachines(t *testing.T) {
	pick := func(shard, n int) []string { return []string{"a", "b", "c", "d"}[:n] }
	for _, answering := range []int{0, 1, 2, 4} {
		w := NewWorkers(WorkerLimits{Crowd: CrowdLimits{Every: time.Second, Least: time.Second, Gaps: 15, Most: 2.5, Ask: 5, Asked: 1.3},
			Probe: 1200 * ms, Wait: 500 * ms, Sample: 4, Again: 3 * time.Second, Deaf: 30 * time.Second, DeafMax: time.Minute})
		now, silentAt := time.Duration(0), time.Duration(0)
		for ; now < 20*time.Second; now += 100 * ms {
			c := Crowd{Of: 8, Heard: 8}
			if now >= 5*time.Second {
				c.Heard = 1
			}
			if now%(1100*ms) == 0 || now < 5*time.Second { // the one that is in reach, not always in time
				w.Heard(now, 7, "h")
			}
			w.Watch(now, map[int]Crowd{7: c})
			for _, m := range w.Probe(now, nil, pick) {
				if m < []string{"a", "b", "c", "d", "e"}[answering] {
					w.Answered(now, 7, m)
				}
			}
			if silentAt == 0 && w.Silent(now, 7) > 0 {
				silentAt = now
			}
			if w.Lacks(now) {
				t.Fatalf("%d answer, one reports: it lacks workers at %v", answering, now)
			}
		}
		if soon := 6 * time.Second; silentAt == 0 || answering < 2 != (silentAt < soon) || silentAt > 6500*ms {
			t.Errorf("one of 8 reports since 5 s, %d of 4 answer calls: silent at %v", answering, silentAt)
		}
		of, heard := w.Reached(7, 8) // none of those called is less than one of 8 that report
		if wantOf, want := 8, 1; answering > 0 && (of != wantOf || heard != want) || answering == 0 && (of != 4 || heard != 0) {
			t.Errorf("%d of 4 answer: reached %d of %d", answering, heard, of)
		}
		if r := w.Word(now); len(r.Seeks) != 1 {
			t.Errorf("%d of 4 answer: the word is %+v", answering, r)
		}
		w.Watch(now, nil) // given away
		w.Heard(now+time.Second, Anywhere, "h")
		if !w.Lacks(now+29*time.Second) || w.Lacks(now+30*time.Second) {
			t.Errorf("%d of 4 answer: given away; cut off: %v", answering, w.Lacks(now+29*time.Second))
		}
	}
}

// Who has just taken a shard up, or has stood still, has not been heard by all its machines yet: that few
// report says nothing until they all should have.
func TestFewAtFirst(t *testing.T) {
	w := NewWorkers(WorkerLimits{Crowd: CrowdLimits{Every: time.Second, Least: time.Second, Gaps: 15, Most: 2.5, Ask: 5, Asked: 1.3},
		Probe: 1200 * ms, Wait: 500 * ms, Sample: 4, Again: 3 * time.Second})
	for _, c := range []struct {
		what string
		at   time.Duration
	}{{"taken up", 0}, {"stood still", 20 * time.Second}} {
		for now := c.at; now < c.at+3700*ms; now += 100 * ms {
			w.Heard(now, 7, "h")
			w.Watch(now, map[int]Crowd{7: {Of: 8, Heard: 1}})
			if w.Silent(now, 7) > 0 {
				t.Errorf("%s, one of 8 reports: silent after %v", c.what, now-c.at)
				break
			}
		}
		for now := c.at + 3700*ms; now < c.at+6*time.Second; now += 100 * ms {
			w.Heard(now, 7, "h")
			w.Watch(now, map[int]Crowd{7: {Of: 8, Heard: 1}})
		}
		if w.Silent(c.at+6*time.Second, 7) == 0 {
			t.Errorf("%s: one of 8 reports for 6 s, and it is not silent", c.what)
		}
	}
}

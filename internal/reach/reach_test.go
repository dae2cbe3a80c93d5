package reach

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var linkLimits = LinkLimits{LateAfter: 600 * ms, DownAfter: 1500 * ms, RecoverAfter: time.Second, RecoverAfterMax: 8 * time.Second, FlapWindow: time.Minute}

func TestDoubtBeforeCertainty(t *testing.T) {
	l := NewLink(linkLimits)
	want := func(now time.Duration, level Level, why string) {
		t.Helper()
		if j := l.Evaluate(now); j.Level != level || j.Reason != why {
			t.Fatalf("at %v: %+v, want %v, %q", now, j, level, why)
		}
	}
	want(0, Unknown, "")
	l.CallSent(0, 1)
	l.CallDone(10*ms, 1, 0, Answered)
	want(10*ms, Up, "answers")
	l.CallSent(1000*ms, 2)
	want(1500*ms, Up, "answers")
	want(1600*ms, Doubt, "an answer is late")
	// One late answer is no proof, however long ago it was.
	want(9*time.Second, Doubt, "an answer is late")
	l.CallDone(9*time.Second, 2, 1000*ms, Answered)
	want(9*time.Second, Up, "answers")
	// A failure that is older than an answer says nothing.
	l.CallDone(9500*ms, 3, 500*ms, NoAnswer)
	want(9500*ms, Up, "answers")
	l.CallDone(10*time.Second, 4, 9900*ms, Refused)
	// An answer to a call from before the refusal does not speak against it.
	l.CallDone(10100*ms, 8, 9800*ms, Answered)
	want(10*time.Second, Doubt, "refused")
	l.CallDone(11*time.Second, 5, 10*time.Second, NoAnswer)
	want(11400*ms, Doubt, "refused")
	want(11500*ms, Down, "refused")
	// Back only after answers for a second.
	l.CallDone(12*time.Second, 6, 12*time.Second, Answered)
	want(12*time.Second, Down, "refused")
	l.CallDone(13*time.Second, 7, 13*time.Second, Answered)
	want(13*time.Second, Up, "answers again")
}

// Answers that come, and late, raise what counts as late, up to a limit; one that comes soon
// ends that. A link that is slow is not taken for cut, and one that is cut while slow is.
func TestSlowIsNoCut(t *testing.T) {
	limits := linkLimits
	limits.LateAfterMax = 1500 * ms
	l := NewLink(limits)
	at := time.Duration(0)
	ask := func(took time.Duration) (doubted time.Duration) {
		l.CallSent(at, uint64(at))
		for d := time.Duration(0); d < took; d += 50 * ms {
			if j := l.Evaluate(at + d); j.Level > Up && doubted == 0 {
				doubted = d
			}
		}
		if took < 1500*ms {
			l.CallDone(at+took, uint64(at), at, Answered)
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
			o = NoAnswer
		}
		id++
		l.CallDone(now, id, now, o)
		j := l.Evaluate(now).Level
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
			before := l.Evaluate(now).Level
			o := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
			l.CallDone(now, id, now, o)
			if o == Answered {
				reasons = 0
			} else {
				reasons++
			}
			j := l.Evaluate(now)
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
	l := GroupLimits{ReportInterval: 5 * time.Second, MinSilence: time.Second, DownGaps: 15, DownIntervals: 2.5, ProbeGaps: 5, ProbeIntervals: 1.3}
	for _, c := range []struct {
		what string
		now  time.Duration
		c    MachineGroup
		want Level
	}{
		{"no machines", 9 * time.Second, MachineGroup{}, Unknown},
		{"450 machines, silent for half a second", 500 * ms, MachineGroup{450, 400, 0}, Up},
		{"450 machines, silent for over a second", 1100 * ms, MachineGroup{450, 400, 0}, Down},
		{"one machine between two reports", 6 * time.Second, MachineGroup{1, 1, 0}, Up},
		{"one machine, a report late", 7 * time.Second, MachineGroup{1, 1, 0}, Probing},
		{"ten machines, silent for three seconds", 3 * time.Second, MachineGroup{10, 9, 0}, Probing},
		{"one machine, silent for two and a half reports", 13 * time.Second, MachineGroup{1, 0, 0}, Down},
		{"most of them away", 100 * ms, MachineGroup{100, 30, 0}, Doubt},
	} {
		if got := l.Evaluate(c.now, c.c); got != c.want {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

func TestSample(t *testing.T) {
	s := NewSample(0, PickEvenly([]string{"a", "b", "c", "d", "e", "f", "g", "h"}, 4))
	for _, m := range []string{"a", "a", "b", "c"} { // b was not asked
		s.RecordAnswer(m)
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
	limits := WorkerLimits{Group: GroupLimits{ReportInterval: 2 * time.Second, MinSilence: time.Second, DownGaps: 15, DownIntervals: 2.5, ProbeGaps: 5, ProbeIntervals: 1.3},
		ProbeInterval: 1200 * ms, ProbeTimeout: 500 * ms, SampleSize: 2, ResampleAfter: 3 * time.Second}
	pick := func(shard, n int) []string {
		if shard == AnyShard {
			return []string{"x", "y"}
		}
		return []string{"a", "b"}
	}
	for _, answers := range []bool{false, true} {
		w := NewWorkers(limits)
		var silentAt, lacksAt time.Duration
		for now := time.Duration(0); now < 8*time.Second; now += 100 * ms {
			if now <= time.Second {
				w.DirectReport(now, 7, "a")
			}
			w.Update(now, map[int]MachineGroup{7: {Expected: 6, Reporting: 6}})
			for _, m := range w.StartProbes(now, nil, pick) {
				if answers && now < 5*time.Second {
					w.CallAnswered(now, 7, m)
				}
			}
			if silentAt == 0 && w.SilentFor(now, 7) > 0 {
				silentAt = now
			}
			if lacksAt == 0 && w.LacksWorkers(now) {
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
	w := NewWorkers(WorkerLimits{Group: GroupLimits{ReportInterval: 2 * time.Second, MinSilence: time.Second, DownGaps: 15, DownIntervals: 2.5, ProbeGaps: 5, ProbeIntervals: 1.3},
		ProbeInterval: 1200 * ms, ProbeTimeout: 500 * ms, SampleSize: 4, ResampleAfter: 3 * time.Second})
	pick := func(shard, n int) []string { return []string{"a", "b", "c"}[:min(n, 3)] }
	w.DirectReport(0, AnyShard, "z")
	if got := w.StartProbes(0, nil, pick); got != nil {
		t.Fatalf("called without need: %v", got)
	}
	if got := w.StartProbes(100*ms, map[int]bool{3: true}, pick); len(got) != 3 {
		t.Fatalf("called %v", got)
	}
	w.CallAnswered(200*ms, AnyShard, "a")
	w.CallAnswered(200*ms, AnyShard, "c")
	w.StartProbes(600*ms, map[int]bool{3: true}, pick)
	if r := w.Report(700 * ms); len(r.Hears) != 1 || r.Hears[0].Shard != 3 || r.Hears[0].Of != 3 || r.Hears[0].Heard != 2 {
		t.Fatalf("the word is %+v", r)
	}
	w.StartProbes(700*ms, nil, pick)
	if r := w.Report(700 * ms); r.Hears != nil {
		t.Fatalf("no longer sought, and the word is %+v", r)
	}
}

// Who gave a shard away counts as cut off for a while, longer each time, even if workers
// answer its calls; a report that comes ends it.
func TestDeafAfterGivingAway(t *testing.T) {
	w := NewWorkers(WorkerLimits{Group: GroupLimits{ReportInterval: time.Second, MinSilence: time.Second, DownGaps: 15, DownIntervals: 2.5, ProbeGaps: 5, ProbeIntervals: 1.3},
		ProbeInterval: 1200 * ms, ProbeTimeout: 500 * ms, SampleSize: 4, ResampleAfter: 3 * time.Second, CutOffFor: 30 * time.Second, CutOffForMax: time.Minute})
	now := time.Duration(0)
	var until []time.Duration
	for range 3 {
		w.Update(now, map[int]MachineGroup{7: {Expected: 6}})
		for range 40 { // silent for four reports
			now += 100 * ms
			w.Update(now, map[int]MachineGroup{7: {Expected: 6}})
		}
		w.CallAnswered(now, 7, "a")
		w.Update(now, map[int]MachineGroup{7: {Expected: 6}})
		w.Update(now, nil) // given away
		began := now
		for w.LacksWorkers(now) {
			now += time.Second
		}
		until = append(until, now-began)
	}
	if until[0] != 30*time.Second || until[1] != time.Minute || until[2] != time.Minute {
		t.Errorf("cut off for %v", until)
	}
	w.Update(now, map[int]MachineGroup{7: {Expected: 6}})
	for range 40 {
		now += 100 * ms
		w.Update(now, map[int]MachineGroup{7: {Expected: 6}})
	}
	w.Update(now, nil)
	if !w.LacksWorkers(now) {
		t.Error("given away, and not cut off")
	}
	if w.DirectReport(now, AnyShard, "b"); w.LacksWorkers(now) {
		t.Error("a worker reports, and it counts as cut off")
	}
}

// A process that stood still for seconds takes nothing for silent that it slept through.
func TestSleepIsNoSilence(t *testing.T) {
	w := NewWorkers(WorkerLimits{Group: GroupLimits{ReportInterval: 5 * time.Second, MinSilence: time.Second, DownGaps: 15, DownIntervals: 2.5, ProbeGaps: 5, ProbeIntervals: 1.3}})
	held := map[int]MachineGroup{7: {Expected: 450, Reporting: 450}}
	w.Update(0, held)
	w.DirectReport(100*ms, 7, "a")
	w.Update(200*ms, held)
	if w.Update(9*time.Second, held); w.SilentFor(9*time.Second, 7) != 0 {
		t.Error("silent while it stood still")
	}
	for now := 9 * time.Second; now < 11*time.Second; now += 200 * ms {
		w.Update(now, held)
	}
	if w.SilentFor(11*time.Second, 7) == 0 {
		t.Error("450 machines are silent for two seconds, and it does not see it")
	}
}

// A holder that hears few of its machines calls some, and seeks others who reach them: at once if few
// answer, else once reports stay away all the same. Reports of the few go on, and do not say that it is
// cut off no more.
func TestHolderOfFewMachines(t *testing.T) {
	pick := func(shard, n int) []string { return []string{"a", "b", "c", "d"}[:n] }
	for _, answering := range []int{0, 1, 2, 4} {
		w := NewWorkers(WorkerLimits{Group: GroupLimits{ReportInterval: time.Second, MinSilence: time.Second, DownGaps: 15, DownIntervals: 2.5, ProbeGaps: 5, ProbeIntervals: 1.3},
			ProbeInterval: 1200 * ms, ProbeTimeout: 500 * ms, SampleSize: 4, ResampleAfter: 3 * time.Second, CutOffFor: 30 * time.Second, CutOffForMax: time.Minute})
		now, silentAt := time.Duration(0), time.Duration(0)
		for ; now < 20*time.Second; now += 100 * ms {
			c := MachineGroup{Expected: 8, Reporting: 8}
			if now >= 5*time.Second {
				c.Reporting = 1
			}
			if now%(1100*ms) == 0 || now < 5*time.Second { // the one that is in reach, not always in time
				w.DirectReport(now, 7, "h")
			}
			w.Update(now, map[int]MachineGroup{7: c})
			for _, m := range w.StartProbes(now, nil, pick) {
				if m < []string{"a", "b", "c", "d", "e"}[answering] {
					w.CallAnswered(now, 7, m)
				}
			}
			if silentAt == 0 && w.SilentFor(now, 7) > 0 {
				silentAt = now
			}
			if w.LacksWorkers(now) {
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
		if r := w.Report(now); len(r.Seeks) != 1 {
			t.Errorf("%d of 4 answer: the word is %+v", answering, r)
		}
		w.Update(now, nil) // given away
		w.DirectReport(now+time.Second, AnyShard, "h")
		if !w.LacksWorkers(now+29*time.Second) || w.LacksWorkers(now+30*time.Second) {
			t.Errorf("%d of 4 answer: given away; cut off: %v", answering, w.LacksWorkers(now+29*time.Second))
		}
	}
}

// Who has just taken a shard up, or has stood still, has not been heard by all its machines yet: that few
// report says nothing until they all should have.
func TestFewAtFirst(t *testing.T) {
	w := NewWorkers(WorkerLimits{Group: GroupLimits{ReportInterval: time.Second, MinSilence: time.Second, DownGaps: 15, DownIntervals: 2.5, ProbeGaps: 5, ProbeIntervals: 1.3},
		ProbeInterval: 1200 * ms, ProbeTimeout: 500 * ms, SampleSize: 4, ResampleAfter: 3 * time.Second})
	for _, c := range []struct {
		what string
		at   time.Duration
	}{{"taken up", 0}, {"stood still", 20 * time.Second}} {
		for now := c.at; now < c.at+3700*ms; now += 100 * ms {
			w.DirectReport(now, 7, "h")
			w.Update(now, map[int]MachineGroup{7: {Expected: 8, Reporting: 1}})
			if w.SilentFor(now, 7) > 0 {
				t.Errorf("%s, one of 8 reports: silent after %v", c.what, now-c.at)
				break
			}
		}
		for now := c.at + 3700*ms; now < c.at+6*time.Second; now += 100 * ms {
			w.DirectReport(now, 7, "h")
			w.Update(now, map[int]MachineGroup{7: {Expected: 8, Reporting: 1}})
		}
		if w.SilentFor(c.at+6*time.Second, 7) == 0 {
			t.Errorf("%s: one of 8 reports for 6 s, and it is not silent", c.what)
		}
	}
}

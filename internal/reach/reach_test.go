package reach

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var linkLimits = LinkLimits{
	LateAfter:       600 * ms,
	DownAfter:       1500 * ms,
	RecoverAfter:    time.Second,
	RecoverAfterMax: 8 * time.Second,
	FlapWindow:      time.Minute,
}

func TestDoubtBeforeDown(t *testing.T) {
	link := NewLink(linkLimits)
	want := func(now time.Duration, level Level, why string) {
		t.Helper()
		if status := link.Evaluate(now); status.Level != level || status.Reason != why {
			t.Fatalf("at %v: %+v, want %v, %q", now, status, level, why)
		}
	}
	want(0, Unknown, "")
	link.CallSent(0, 1)
	link.CallDone(10*ms, 1, 0, Answered)
	want(10*ms, Up, "answers")
	link.CallSent(1000*ms, 2)
	want(1500*ms, Up, "answers")
	want(1600*ms, Doubt, "an answer is late")
	// One late answer alone never makes the link count as down.
	want(9*time.Second, Doubt, "an answer is late")
	link.CallDone(9*time.Second, 2, 1000*ms, Answered)
	want(9*time.Second, Up, "answers")
	// A failed call that was sent before an answered one is ignored.
	link.CallDone(9500*ms, 3, 500*ms, NoAnswer)
	want(9500*ms, Up, "answers")
	link.CallDone(10*time.Second, 4, 9900*ms, Refused)
	// An answer to a call that was sent before the refused one does not end the doubt.
	link.CallDone(10100*ms, 8, 9800*ms, Answered)
	want(10*time.Second, Doubt, "refused")
	link.CallDone(11*time.Second, 5, 10*time.Second, NoAnswer)
	want(11400*ms, Doubt, "refused")
	want(11500*ms, Down, "refused")
	// The link is up again only after answers for one second.
	link.CallDone(12*time.Second, 6, 12*time.Second, Answered)
	want(12*time.Second, Down, "refused")
	link.CallDone(13*time.Second, 7, 13*time.Second, Answered)
	want(13*time.Second, Up, "answers again")
}

// Slow answers raise the time after which an answer counts as late, up to a limit; a fast answer resets
// it. A slow link does not count as down, and one that goes down while slow does.
func TestSlowLinkIsNotDown(t *testing.T) {
	limits := linkLimits
	limits.LateAfterMax = 1500 * ms
	link := NewLink(limits)
	at := time.Duration(0)
	call := func(took time.Duration) (doubted time.Duration) {
		link.CallSent(at, uint64(at))
		for d := time.Duration(0); d < took; d += 50 * ms {
			if status := link.Evaluate(at + d); status.Level > Up && doubted == 0 {
				doubted = d
			}
		}
		if took < 1500*ms {
			link.CallDone(at+took, uint64(at), at, Answered)
		}
		at += took + 500*ms
		return doubted
	}
	for i, step := range []struct{ took, doubted time.Duration }{
		{10 * ms, 0}, {1200 * ms, 600 * ms}, // the first slow answer brings doubt
		{1200 * ms, 0}, {1400 * ms, 0}, {700 * ms, 0}, {1300 * ms, 0},
		{10 * ms, 0}, {800 * ms, 600 * ms}, // after a fast answer, a slow one is late again
		{3 * time.Second, 1500 * ms}, // no answer at all
	} {
		if got := call(step.took); got != step.doubted {
			t.Errorf("call %d, answered after %v: in doubt after %v, want %v", i, step.took, got, step.doubted)
		}
	}
}

// A link that alternates between three seconds up and three seconds down goes down a few times, each
// time for longer, and then stays down.
func TestFlappingLinkStaysDown(t *testing.T) {
	link := NewLink(linkLimits)
	wentDown, id := 0, uint64(0)
	before := Up
	for now := time.Duration(0); now < 60*time.Second; now += 250 * ms {
		outcome := Answered
		if now/(3*time.Second)%2 == 1 {
			outcome = NoAnswer
		}
		id++
		link.CallDone(now, id, now, outcome)
		level := link.Evaluate(now).Level
		if level == Down && before != Down {
			wentDown++
		}
		before = level
	}
	if wentDown > 3 {
		t.Errorf("went down %d times in ten flaps", wentDown)
	}
}

// With any sequence of outcomes, a link that was not down is up after an answer, and no link goes down
// without two failures since its last answer.
func TestLinkProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		link := NewLink(linkLimits)
		now, failures := time.Duration(0), 0
		for id := uint64(1); id < 60; id++ {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * ms
			before := link.Evaluate(now).Level
			outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
			link.CallDone(now, id, now, outcome)
			if outcome == Answered {
				failures = 0
			} else {
				failures++
			}
			status := link.Evaluate(now)
			if outcome == Answered && before != Down && status.Level != Up {
				t.Fatalf("%v after an answer", status.Level)
			}
			if status.Level == Down && before != Down && failures < 2 {
				t.Fatalf("down after %d failures", failures)
			}
		}
	})
}

func TestRoutes(t *testing.T) {
	routes := NewRoutes(time.Second, 2)
	want := func(now time.Duration, peer string, hops int) {
		t.Helper()
		if gotPeer, gotHops := routes.Best(now); gotPeer != peer || gotHops != hops {
			t.Fatalf("at %v: %q %d, want %q %d", now, gotPeer, gotHops, peer, hops)
		}
	}
	want(0, "", 0)
	routes.Offer(0, "b", 1)
	want(0, "b", 2)
	routes.Offer(0, "c", 0)
	want(0, "c", 1)
	routes.Offer(100*ms, "a", 0)
	want(100*ms, "c", 1) // an equally short route is no reason to change
	routes.Offer(200*ms, "c", -1)
	want(200*ms, "a", 1)
	want(1050*ms, "a", 1) // the offer of b has expired
	want(1200*ms, "", 0)
	routes.Offer(1200*ms, "b", 2)
	want(1200*ms, "", 0) // too many hops
}

func TestGroupLimitsEvaluate(t *testing.T) {
	limits := GroupLimits{
		ReportInterval: 5 * time.Second,
		MinSilence:     time.Second,
		DownGaps:       15,
		DownIntervals:  2.5,
		ProbeGaps:      5,
		ProbeIntervals: 1.3,
	}
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
		{"one machine, its report late", 7 * time.Second, MachineGroup{1, 1, 0}, Probing},
		{"ten machines, silent for three seconds", 3 * time.Second, MachineGroup{10, 9, 0}, Probing},
		{"one machine, silent for two and a half intervals", 13 * time.Second, MachineGroup{1, 0, 0}, Down},
		{"most machines do not report", 100 * ms, MachineGroup{100, 30, 0}, Doubt},
	} {
		if got := limits.Evaluate(c.now, c.c); got != c.want {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

func TestSample(t *testing.T) {
	sample := NewSample(0, PickEvenly([]string{"a", "b", "c", "d", "e", "f", "g", "h"}, 4))
	for _, m := range []string{"a", "a", "b", "c"} { // b is not in the sample
		sample.RecordAnswer(m)
	}
	if called, answered, finished := sample.Result(500*ms, time.Second); called != 4 || answered != 2 || finished {
		t.Errorf("%d of %d, finished %v", answered, called, finished)
	}
	if _, _, finished := sample.Result(time.Second, time.Second); !finished {
		t.Error("not finished after the timeout")
	}
}

// A holder calls some machines of a shard that has been silent for longer than chance explains. It is
// cut off once none of those called answers; an answer shows that it is not.
func TestHolderFindsItselfCutOff(t *testing.T) {
	limits := WorkerLimits{
		Group: GroupLimits{
			ReportInterval: 2 * time.Second,
			MinSilence:     time.Second,
			DownGaps:       15,
			DownIntervals:  2.5,
			ProbeGaps:      5,
			ProbeIntervals: 1.3,
		},
		ProbeInterval: 1200 * ms,
		ProbeTimeout:  500 * ms,
		SampleSize:    2,
		ResampleAfter: 3 * time.Second,
	}
	pick := func(shard, n int) []string {
		if shard == AnyShard {
			return []string{"x", "y"}
		}
		return []string{"a", "b"}
	}
	for _, answers := range []bool{false, true} {
		workers := NewWorkers(limits)
		var silentAt, lacksAt time.Duration
		for now := time.Duration(0); now < 8*time.Second; now += 100 * ms {
			if now <= time.Second {
				workers.DirectReport(now, 7, "a")
			}
			workers.Update(now, map[int]MachineGroup{7: {Expected: 6, Reporting: 6}})
			for _, m := range workers.StartProbes(now, nil, pick) {
				if answers && now < 5*time.Second {
					workers.CallAnswered(now, 7, m)
				}
			}
			if silentAt == 0 && workers.SilentFor(now, 7) > 0 {
				silentAt = now
			}
			if lacksAt == 0 && workers.LacksWorkers(now) {
				lacksAt = now
			}
		}
		// After two and a half intervals the shard counts as silent even if machines answer calls.
		if answers && (silentAt < 6*time.Second || silentAt > 6200*ms || lacksAt > 0 && lacksAt < silentAt) {
			t.Errorf("machines answer calls: silent at %v, lacks workers at %v", silentAt, lacksAt)
		}
		if !answers && (silentAt == 0 || silentAt > 4*time.Second || lacksAt == 0) {
			t.Errorf("all machines silent since 1 s: silent at %v, lacks workers at %v", silentAt, lacksAt)
		}
	}
}

// A shard that another controller seeks is sampled at once, and its result is reported until it is no
// longer sought. No other samples are taken while workers report.
func TestSoughtShardIsSampled(t *testing.T) {
	workers := NewWorkers(WorkerLimits{
		Group: GroupLimits{
			ReportInterval: 2 * time.Second,
			MinSilence:     time.Second,
			DownGaps:       15,
			DownIntervals:  2.5,
			ProbeGaps:      5,
			ProbeIntervals: 1.3,
		},
		ProbeInterval: 1200 * ms,
		ProbeTimeout:  500 * ms,
		SampleSize:    4,
		ResampleAfter: 3 * time.Second,
	})
	pick := func(shard, n int) []string { return []string{"a", "b", "c"}[:min(n, 3)] }
	workers.DirectReport(0, AnyShard, "z")
	if got := workers.StartProbes(0, nil, pick); got != nil {
		t.Fatalf("called without need: %v", got)
	}
	if got := workers.StartProbes(100*ms, map[int]bool{3: true}, pick); len(got) != 3 {
		t.Fatalf("called %v", got)
	}
	workers.CallAnswered(200*ms, AnyShard, "a")
	workers.CallAnswered(200*ms, AnyShard, "c")
	workers.StartProbes(600*ms, map[int]bool{3: true}, pick)
	if report := workers.Report(700 * ms); len(report.SampledShards) != 1 || report.SampledShards[0].Shard != 3 || report.SampledShards[0].Called != 3 || report.SampledShards[0].Answered != 2 {
		t.Fatalf("reported %+v", report)
	}
	workers.StartProbes(700*ms, nil, pick)
	if report := workers.Report(700 * ms); report.SampledShards != nil {
		t.Fatalf("no longer sought, and still reported: %+v", report)
	}
}

// A controller that transferred a silent shard counts as cut off for a while, longer each time, even if
// workers answer its calls; a direct report ends that.
func TestCutOffAfterTransfer(t *testing.T) {
	workers := NewWorkers(WorkerLimits{
		Group: GroupLimits{
			ReportInterval: time.Second,
			MinSilence:     time.Second,
			DownGaps:       15,
			DownIntervals:  2.5,
			ProbeGaps:      5,
			ProbeIntervals: 1.3,
		},
		ProbeInterval: 1200 * ms,
		ProbeTimeout:  500 * ms,
		SampleSize:    4,
		ResampleAfter: 3 * time.Second,
		CutOffFor:     30 * time.Second,
		CutOffForMax:  time.Minute,
	})
	now := time.Duration(0)
	var cutOffFor []time.Duration
	for range 3 {
		workers.Update(now, map[int]MachineGroup{7: {Expected: 6}})
		for range 40 { // silent for four reports
			now += 100 * ms
			workers.Update(now, map[int]MachineGroup{7: {Expected: 6}})
		}
		workers.CallAnswered(now, 7, "a")
		workers.Update(now, map[int]MachineGroup{7: {Expected: 6}})
		workers.Update(now, nil) // transferred
		startedAt := now
		for workers.LacksWorkers(now) {
			now += time.Second
		}
		cutOffFor = append(cutOffFor, now-startedAt)
	}
	if cutOffFor[0] != 30*time.Second || cutOffFor[1] != time.Minute || cutOffFor[2] != time.Minute {
		t.Errorf("cut off for %v", cutOffFor)
	}
	workers.Update(now, map[int]MachineGroup{7: {Expected: 6}})
	for range 40 {
		now += 100 * ms
		workers.Update(now, map[int]MachineGroup{7: {Expected: 6}})
	}
	workers.Update(now, nil)
	if !workers.LacksWorkers(now) {
		t.Error("transferred a silent shard, and does not count as cut off")
	}
	if workers.DirectReport(now, AnyShard, "b"); workers.LacksWorkers(now) {
		t.Error("a worker reports, and the controller still counts as cut off")
	}
}

// A process that was paused for seconds does not take the pause for silence of the machines.
func TestPauseIsNoSilence(t *testing.T) {
	workers := NewWorkers(WorkerLimits{
		Group: GroupLimits{
			ReportInterval: 5 * time.Second,
			MinSilence:     time.Second,
			DownGaps:       15,
			DownIntervals:  2.5,
			ProbeGaps:      5,
			ProbeIntervals: 1.3,
		},
	})
	held := map[int]MachineGroup{7: {Expected: 450, Reporting: 450}}
	workers.Update(0, held)
	workers.DirectReport(100*ms, 7, "a")
	workers.Update(200*ms, held)
	if workers.Update(9*time.Second, held); workers.SilentFor(9*time.Second, 7) != 0 {
		t.Error("the pause counts as silence")
	}
	for now := 9 * time.Second; now < 11*time.Second; now += 200 * ms {
		workers.Update(now, held)
	}
	if workers.SilentFor(11*time.Second, 7) == 0 {
		t.Error("450 machines are silent for two seconds, and the shard does not count as silent")
	}
}

// A holder to which few of its machines report calls some of them, and seeks controllers that reach them:
// at once if few answer, otherwise once reports have been missing for longer. The few machines go on
// reporting, which does not show that the holder is no longer cut off.
func TestFewMachinesReport(t *testing.T) {
	pick := func(shard, n int) []string { return []string{"a", "b", "c", "d"}[:n] }
	for _, answering := range []int{0, 1, 2, 4} {
		workers := NewWorkers(WorkerLimits{
			Group: GroupLimits{
				ReportInterval: time.Second,
				MinSilence:     time.Second,
				DownGaps:       15,
				DownIntervals:  2.5,
				ProbeGaps:      5,
				ProbeIntervals: 1.3,
			},
			ProbeInterval: 1200 * ms,
			ProbeTimeout:  500 * ms,
			SampleSize:    4,
			ResampleAfter: 3 * time.Second,
			CutOffFor:     30 * time.Second,
			CutOffForMax:  time.Minute,
		})
		now, silentAt := time.Duration(0), time.Duration(0)
		for ; now < 20*time.Second; now += 100 * ms {
			group := MachineGroup{Expected: 8, Reporting: 8}
			if now >= 5*time.Second {
				group.Reporting = 1
			}
			if now%(1100*ms) == 0 || now < 5*time.Second { // the one machine that is reached, not always in time
				workers.DirectReport(now, 7, "h")
			}
			workers.Update(now, map[int]MachineGroup{7: group})
			for _, m := range workers.StartProbes(now, nil, pick) {
				if m < []string{"a", "b", "c", "d", "e"}[answering] {
					workers.CallAnswered(now, 7, m)
				}
			}
			if silentAt == 0 && workers.SilentFor(now, 7) > 0 {
				silentAt = now
			}
			if workers.LacksWorkers(now) {
				t.Fatalf("%d answer, one reports: lacks workers at %v", answering, now)
			}
		}
		if soon := 6 * time.Second; silentAt == 0 || answering < 2 != (silentAt < soon) || silentAt > 6500*ms {
			t.Errorf("one of 8 reports since 5 s, %d of 4 answer calls: silent at %v", answering, silentAt)
		}
		total, reached := workers.Reached(7, 8) // none of the called machines is a smaller share than one of 8 that reports
		if wantTotal, want := 8, 1; answering > 0 && (total != wantTotal || reached != want) || answering == 0 && (total != 4 || reached != 0) {
			t.Errorf("%d of 4 answer: reached %d of %d", answering, reached, total)
		}
		if report := workers.Report(now); len(report.SilentShards) != 1 {
			t.Errorf("%d of 4 answer: reported %+v", answering, report)
		}
		workers.Update(now, nil) // transferred
		workers.DirectReport(now+time.Second, AnyShard, "h")
		if !workers.LacksWorkers(now+29*time.Second) || workers.LacksWorkers(now+30*time.Second) {
			t.Errorf("%d of 4 answer, shard transferred: cut off: %v", answering, workers.LacksWorkers(now+29*time.Second))
		}
	}
}

// After a controller has taken over a shard or was paused, not all machines have had the time to report.
// That few report means nothing until all of them should have.
func TestFewReportsAfterStartOrPause(t *testing.T) {
	workers := NewWorkers(WorkerLimits{
		Group: GroupLimits{
			ReportInterval: time.Second,
			MinSilence:     time.Second,
			DownGaps:       15,
			DownIntervals:  2.5,
			ProbeGaps:      5,
			ProbeIntervals: 1.3,
		},
		ProbeInterval: 1200 * ms,
		ProbeTimeout:  500 * ms,
		SampleSize:    4,
		ResampleAfter: 3 * time.Second,
	})
	for _, c := range []struct {
		what string
		at   time.Duration
	}{{"taken over", 0}, {"after a pause", 20 * time.Second}} {
		for now := c.at; now < c.at+3700*ms; now += 100 * ms {
			workers.DirectReport(now, 7, "h")
			workers.Update(now, map[int]MachineGroup{7: {Expected: 8, Reporting: 1}})
			if workers.SilentFor(now, 7) > 0 {
				t.Errorf("%s, one of 8 reports: silent after %v", c.what, now-c.at)
				break
			}
		}
		for now := c.at + 3700*ms; now < c.at+6*time.Second; now += 100 * ms {
			workers.DirectReport(now, 7, "h")
			workers.Update(now, map[int]MachineGroup{7: {Expected: 8, Reporting: 1}})
		}
		if workers.SilentFor(c.at+6*time.Second, 7) == 0 {
			t.Errorf("%s: one of 8 reports for 6 s, and it is not silent", c.what)
		}
	}
}

package assignment

import (
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/internal/reach"
	"github.com/barrowbridge/barrowbridge/wire"
)

// newTestTracker returns a tracker owned by controller a, with b and c present, and its link to the
// cloud.
func newTestTracker() (*Tracker, *reach.Link) {
	cloud := reach.NewLink(reach.LinkLimits{
		LateAfter:       time.Minute,
		DownAfter:       time.Second,
		RecoverAfter:    time.Second,
		RecoverAfterMax: time.Second,
		FlapWindow:      time.Minute,
	})
	workers := reach.NewWorkers(reach.WorkerLimits{})
	present := map[string]wire.Node{"a": {Boot: 1, Zone: "n"}, "b": {Boot: 2, Zone: "s"}, "c": {Boot: 3, Zone: "n"}}
	return NewTracker("a", zones, present, workers, cloud, rules, Limits{
		ReportTTL:           2 * time.Second,
		ReachableFor:        time.Second,
		UnreachableAfter:    3 * time.Second,
		CloudAnswerTTL:      4 * time.Second,
		ReturnHomeAfter:     15 * time.Second,
		AllowedMissing:      2,
		AllowedMissingShare: 50,
	}), cloud
}

// A report received from a peer takes precedence over the stored one, and a report stored by an
// earlier incarnation is ignored.
func TestLatestReport(t *testing.T) {
	tracker, _ := newTestTracker()
	tracker.SetStored("b", wire.ReachReport{Boot: 2, NoWorkers: true})
	tracker.SetStored("c", wire.ReachReport{Boot: 1, NoWorkers: true})
	if !tracker.Latest(time.Second, "b").NoWorkers || tracker.Latest(time.Second, "c").NoWorkers {
		t.Error("the report of the present incarnation is ignored, or that of an earlier one is used")
	}
	tracker.ReportReceived(time.Second, "b", wire.ReachReport{Boot: 2, SilentShards: []int{1, 4}})
	if report := tracker.Latest(2*time.Second, "b"); report.NoWorkers || len(report.SilentShards) != 2 {
		t.Errorf("received a second ago: %+v", report)
	}
	if sought := tracker.SoughtShards(2*time.Second, func(i int) bool { return i == 4 }); len(sought) != 1 || !sought[1] {
		t.Errorf("sought: %v", sought)
	}
	if !tracker.Latest(4*time.Second, "b").NoWorkers {
		t.Error("an outdated received report is used instead of the stored one")
	}
	tracker.RemoveStored("b")
	if tracker.Latest(4*time.Second, "b").NoWorkers {
		t.Error("a removed report is used")
	}
}

func TestReachableAndUnreachablePeers(t *testing.T) {
	tracker, _ := newTestTracker()
	tracker.Update(time.Second, nil, nil)
	tracker.PingAnswered(2*time.Second, "b")
	if !tracker.Reachable(3*time.Second, "b") || tracker.Reachable(3500*time.Millisecond, "b") || tracker.Reachable(time.Second, "c") {
		t.Error("only a peer that has answered within the last second is reachable")
	}
	if report := tracker.OwnReport(4500*time.Millisecond, Self{Boot: 1}); !slices.Equal(report.UnreachableNodes, []string{"c"}) || report.Boot != 1 {
		t.Errorf("%+v", report)
	}
}

// Once no worker is reached, calls go through a peer that is reachable and reaches workers.
func TestWorkerProxy(t *testing.T) {
	tracker, _ := newTestTracker()
	tracker.workers = reach.NewWorkers(reach.WorkerLimits{CutOffFor: time.Minute, Group: reach.GroupLimits{MinSilence: 1500 * time.Millisecond}})
	tracker.PingAnswered(3*time.Second, "b")
	tracker.PingAnswered(3*time.Second, "c")
	tracker.ReportReceived(3*time.Second, "b", wire.ReachReport{Boot: 2, NoWorkers: true})
	if to := tracker.WorkerProxy(3 * time.Second); to != "" {
		t.Errorf("workers may be reached directly, and calls go through %s", to)
	}
	for at := range 3 {
		tracker.workers.Update(time.Duration(at)*time.Second, map[int]reach.MachineGroup{0: {Expected: 6}})
	}
	tracker.workers.Update(3*time.Second, nil) // the silent shard was transferred
	if to := tracker.WorkerProxy(3 * time.Second); to != "c" {
		t.Errorf("through %q", to)
	}
	if to := tracker.WorkerProxy(9 * time.Second); to != "" {
		t.Errorf("through %s, which has not answered for 6 s", to)
	}
	if !tracker.ReachableOrSelf(9*time.Second, "a") || tracker.ReachableOrSelf(9*time.Second, "c") || !tracker.ReachableOrSelf(3500*time.Millisecond, "c") {
		t.Error("messages get through to reachable peers and to the controller itself only")
	}
}

// A shard returns home once its home has been present and has reached workers for 15 s, and few of
// the shard's machines are missing.
func TestMayReturnHome(t *testing.T) {
	tracker, _ := newTestTracker()
	rec := &wire.Shard{Holder: "a", Home: "b", Settled: true}
	mayReturn := func(now time.Duration) bool { return tracker.MayReturnHome(now, Self{Boot: 1}, 0, rec, time.Second, 0) }
	if mayReturn(15*time.Second) || !mayReturn(17*time.Second) {
		t.Error("must return after 15 s, and not sooner")
	}
	tracker.ReportReceived(18*time.Second, "b", wire.ReachReport{NoWorkers: true})
	tracker.Update(18*time.Second, map[int]int{0: 2}, func(int) int { return 100 })
	if mayReturn(19*time.Second) || mayReturn(30*time.Second) || !mayReturn(34*time.Second) {
		t.Error("must return 15 s after the home last lacked workers")
	}
	tracker.HolderChanged(34*time.Second, &wire.Shard{Holder: "b", Boot: 1, Home: "b"}, rec) // taken from an earlier incarnation
	if !mayReturn(34 * time.Second) {
		t.Error("must return: the home's earlier incarnation died, the present one has been there for long")
	}
	tracker.HolderChanged(34*time.Second, &wire.Shard{Holder: "b", Boot: 2, Home: "b"}, rec)
	if mayReturn(48*time.Second) || !mayReturn(50*time.Second) {
		t.Error("must return 15 s after the home transferred its shard, whatever it reports")
	}
	tracker.Update(34*time.Second, map[int]int{0: 3}, func(int) int { return 100 })
	if mayReturn(50 * time.Second) {
		t.Error("must not return: many of its machines are missing")
	}
	tracker.Update(50*time.Second, map[int]int{0: 3}, func(int) int { return 1000 })
	if rec.Settled = false; mayReturn(50 * time.Second) {
		t.Error("must not return: not settled")
	}
}

// A leader that does not reach the cloud leaves leadership to a controller that reports that it does.
func TestLeadershipTarget(t *testing.T) {
	tracker, cloud := newTestTracker()
	lead := Self{Boot: 1, Leading: true, Leader: "a"}
	tracker.ReportReceived(time.Second, "c", wire.ReachReport{CloudAnswers: true})
	if to := tracker.LeadershipTarget(time.Second, lead); to != "" {
		t.Errorf("the cloud may be reached, and leadership goes to %s", to)
	}
	cloud.CallDone(time.Second, 1, time.Second, reach.NoAnswer)
	cloud.CallDone(1500*time.Millisecond, 2, 1500*time.Millisecond, reach.NoAnswer)
	if to := tracker.LeadershipTarget(2500*time.Millisecond, lead); to != "c" {
		t.Errorf("%q", to)
	}
	changed := tracker.ChangedLinks(2500*time.Millisecond, reach.Up)
	if len(changed) != 3 || changed[1] != (Link{"cloud", reach.Down}) || len(tracker.ChangedLinks(2500*time.Millisecond, reach.Up)) != 0 {
		t.Errorf("%v", changed)
	}
	if v := tracker.View(2500*time.Millisecond, reach.LinkStatus{Level: reach.Up}, "", []int{0}); len(v.Links) != 5 || len(v.Reports) != 2 || v.Links[1].Level != "down" {
		t.Errorf("%+v", v)
	}
}

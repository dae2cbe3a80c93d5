package inventory

import (
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

const sec = time.Second

func newTracker() *Tracker {
	return New(Limits{ListLag: 10 * sec, GoneAfter: 32 * sec, AdoptAfter: 4 * sec, CallInterval: 2 * sec})
}

func listOf(names ...string) map[string]wire.MachineInfo {
	list := map[string]wire.MachineInfo{}
	for _, n := range names {
		list[n] = wire.MachineInfo{Name: n, Status: wire.MachineRunning}
	}
	return list
}

func set(names ...string) map[string]bool {
	s := map[string]bool{}
	for _, n := range names {
		s[n] = true
	}
	return s
}

func names(list []wire.MachineInfo) (out []string) {
	for _, m := range list {
		out = append(out, m.Name)
	}
	return out
}

func nowhere(string) bool { return false }

// A listed machine that is in no block is put into one after the lag of the lists, at once when
// the cluster starts for the first time, and sooner if it has answered a call.
func TestAdopt(t *testing.T) {
	tracker := newTracker()
	if tracker.HasUnassigned() {
		t.Error("unassigned machines before a list has been read")
	}
	tracker.ApplyList(sec, listOf("a", "b", "c"), set("a"))
	if got := names(tracker.PendingAdoptions(sec, true, nowhere)); !slices.Equal(got, []string{"b", "c"}) || !tracker.IsUnassigned("b") || tracker.IsUnassigned("a") {
		t.Errorf("at the first start: %v", got)
	}
	if got := tracker.PendingAdoptions(20*sec, false, nowhere); got != nil {
		t.Errorf("after 19 s: %v", got)
	}
	tracker.MarkAnswered(6*sec, wire.MachineInfo{Name: "b", Status: wire.MachineRunning})
	if got := names(tracker.PendingAdoptions(6*sec, false, nowhere)); !slices.Equal(got, []string{"b"}) {
		t.Errorf("b has answered: %v", got)
	}
	if got := names(tracker.PendingAdoptions(22*sec, false, func(n string) bool { return n == "b" })); !slices.Equal(got, []string{"c"}) || tracker.IsUnassigned("b") {
		t.Errorf("b is in a block by now: %v", got)
	}
	tracker.ApplyList(23*sec, listOf("a"), set("a"))
	if tracker.HasUnassigned() {
		t.Error("c is still known although it is no longer listed and never answered")
	}
	tracker.MarkAnswered(24*sec, wire.MachineInfo{Name: "d"})
	tracker.ApplyList(25*sec, listOf("a"), set("a"))
	if !tracker.HasUnassigned() {
		t.Error("d is forgotten although it has answered and is only not listed yet")
	}
}

// A machine that has failed, has been missing from the lists for long or has been dropped is
// deleted. A deleted machine is neither deleted again nor adopted while old lists still name it.
func TestDelete(t *testing.T) {
	tracker := newTracker()
	tracker.ApplyList(sec, listOf("a", "b", "c", "s"), set("a", "b", "c"))
	list := listOf("a", "s")
	failed := list["s"]
	failed.Status = wire.MachineFailed
	list["s"] = failed
	tracker.ApplyList(33*sec, list, set("a", "b", "c"))
	in := func(n string) bool { return n != "s" }
	if got := tracker.PendingDeletions(set("a"), in, 9); !slices.Equal(got, []string{"a", "s"}) {
		t.Errorf("32 s after it was listed: %v", got)
	}
	tracker.ApplyList(34*sec, list, set("a", "b", "c"))
	if got := tracker.PendingDeletions(set("a", "b"), in, 9); !slices.Equal(got, []string{"a", "b", "c", "s"}) {
		t.Errorf("%v", got)
	}
	if got := tracker.PendingDeletions(nil, in, 1); !slices.Equal(got, []string{"b"}) {
		t.Errorf("one at a time: %v", got)
	}
	tracker.MarkDeleted(35*sec, []string{"b", "s"})
	tracker.ApplyList(36*sec, list, set("a", "b", "c"))
	if got := tracker.PendingDeletions(nil, in, 9); !slices.Equal(got, []string{"c"}) || !tracker.IsDeleted("s") || !slices.Equal(tracker.DeletedMachines(), []string{"b", "s"}) {
		t.Errorf("pending %v, deleted %v", got, tracker.DeletedMachines())
	}
	if got := tracker.PendingAdoptions(60*sec, true, nowhere); got != nil {
		t.Errorf("deleted and still adopted: %v", got)
	}
	tracker.MarkAnswered(61*sec, wire.MachineInfo{Name: "s"})
	if tracker.HasUnassigned() {
		t.Error("a late answer brought a deleted machine back")
	}
	if tracker.ForgetOld(75 * sec); !tracker.IsDeleted("b") {
		t.Error("forgotten while old lists may name it")
	}
	if tracker.ForgetOld(76 * sec); tracker.IsDeleted("b") {
		t.Error("never forgotten")
	}
}

func TestCallsToUnassignedMachinesAreLimited(t *testing.T) {
	tracker := newTracker()
	if !tracker.AllowCall(sec, "a") || tracker.AllowCall(3*sec, "a") || !tracker.AllowCall(3500*time.Millisecond, "a") {
		t.Error("calls must be at least two seconds apart")
	}
	tracker.MarkDeleted(4*sec, []string{"z"})
	if tracker.AllowCall(4*sec, "z") {
		t.Error("called for a copied report of a deleted machine")
	}
}

package rollout

import (
	"slices"
	"testing"

	"github.com/barrowbridge/barrowbridge/wire"
)

// newScenario returns a tracker of the controllers a, b and c, of which those in up are present.
func newScenario(up map[string]wire.Node) *Tracker {
	return New([]string{Chains}, []string{"a", "b", "c"}, up)
}

func newer(boot uint64) wire.Node { return wire.Node{Boot: boot, Features: []string{Chains}} }

// write makes a controller write the record that is due, if any, and returns the controller that
// the record is about.
func write(tracker *Tracker, node string) string {
	p := tracker.present[node]
	n, rec, due := tracker.DueRecord(Incarnation{Node: node, Boot: p.Boot, Features: p.Features, Version: "v"})
	if due {
		tracker.Remember(n, rec)
	}
	return n
}

func TestOnOnceAllAreKnownToUnderstand(t *testing.T) {
	up := map[string]wire.Node{"a": newer(1), "b": {Boot: 2}, "c": newer(3)}
	tracker := newScenario(up)
	if got := tracker.ControllersLacking(Chains); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Fatalf("no records yet, lacking: %v", got)
	}
	write(tracker, "a")
	write(tracker, "c")
	if got := tracker.ControllersLacking(Chains); !slices.Equal(got, []string{"b"}) {
		t.Fatalf("lacking: %v", got)
	}
	delete(up, "b") // dies before its turn and may come back as the old version
	if tracker.Enabled(Chains) {
		t.Fatal("enabled while a controller without a record is down")
	}
	up["b"] = newer(9)
	if tracker.Enabled(Chains) {
		t.Fatal("enabled before the record is written")
	}
	write(tracker, "b")
	if !tracker.Enabled(Chains) {
		t.Fatalf("lacking: %v", tracker.ControllersLacking(Chains))
	}
	delete(up, "a")
	if !tracker.Enabled(Chains) {
		t.Fatal("disabled while a controller that understands it is down")
	}
}

// A controller that returns to the old version disables the feature at once. The feature stays
// disabled when that controller is down again, even if its earlier incarnation had recorded that
// it understands the feature.
func TestOneThatComesBackOldTurnsItOff(t *testing.T) {
	up := map[string]wire.Node{"a": newer(1), "b": newer(2), "c": newer(3)}
	tracker := newScenario(up)
	for n := range up {
		write(tracker, n)
	}
	up["b"] = wire.Node{Boot: 7}
	if tracker.Enabled(Chains) {
		t.Fatal("enabled with an old controller present")
	}
	if n := write(tracker, "c"); n != "" {
		t.Fatalf("c wrote the record of %s, although a is the first by name", n)
	}
	if n := write(tracker, "b"); n != "" {
		t.Fatalf("an old controller wrote the record of %s", n)
	}
	if n := write(tracker, "a"); n != "b" {
		t.Fatalf("a wrote the record of %q", n)
	}
	if n := write(tracker, "a"); n != "" {
		t.Fatalf("a wrote again, the record of %s", n)
	}
	delete(up, "b")
	if tracker.Enabled(Chains) {
		t.Fatal("enabled while a controller that came back old is down")
	}
	up["b"] = newer(8)
	write(tracker, "b")
	if !tracker.Enabled(Chains) {
		t.Fatal("disabled after it came back as the new version")
	}
}

func TestOneOutsideTheSettingsCounts(t *testing.T) {
	up := map[string]wire.Node{"a": newer(1), "b": newer(2), "c": newer(3)}
	tracker := newScenario(up)
	for n := range up {
		write(tracker, n)
	}
	up["z"] = wire.Node{Boot: 4}
	if got := tracker.ControllersLacking(Chains); !slices.Equal(got, []string{"z"}) {
		t.Fatalf("lacking: %v", got)
	}
}

// An incarnation records its features once, and only after its presence is in the mirrored state.
func TestDueOncePerIncarnation(t *testing.T) {
	up := map[string]wire.Node{}
	tracker := newScenario(up)
	self := Incarnation{Node: "a", Boot: 5, Features: []string{Chains}, Version: "v"}
	if _, _, due := tracker.DueRecord(self); due {
		t.Fatal("due before the presence exists")
	}
	up["a"] = newer(4)
	if _, _, due := tracker.DueRecord(self); due {
		t.Fatal("due while the presence of an earlier incarnation exists")
	}
	up["a"] = newer(5)
	n, rec, due := tracker.DueRecord(self)
	if !due || n != "a" || rec.Boot != 5 || rec.Version != "v" || !slices.Equal(rec.Features, self.Features) {
		t.Fatalf("%q %+v %v", n, rec, due)
	}
	tracker.Remember(n, rec)
	if _, _, due := tracker.DueRecord(self); due {
		t.Fatal("due twice")
	}
	tracker.Remember("a", wire.Version{})
	if _, _, due := tracker.DueRecord(self); !due {
		t.Fatal("not due although the record is gone")
	}
}

func TestViewAndChangedFeatures(t *testing.T) {
	up := map[string]wire.Node{"a": newer(1), "b": {Boot: 2}}
	tracker := newScenario(up)
	write(tracker, "a")
	v := tracker.View("a")
	if len(v.Controllers) != 3 || v.Controllers[0].Version != "v" || !v.Controllers[1].Present || v.Controllers[1].Boot != 2 || v.Controllers[2].Present {
		t.Fatalf("%+v", v)
	}
	if f := v.Features[0]; f.On || !slices.Equal(f.HeldFor, []string{"b", "c"}) {
		t.Fatalf("%+v", f)
	}
	if got := tracker.ChangedFeatures(); len(got) != 1 || got[0].On {
		t.Fatalf("first call: %+v", got)
	}
	if got := tracker.ChangedFeatures(); len(got) != 0 {
		t.Fatalf("second call without a change: %+v", got)
	}
	up["b"], up["c"] = newer(3), newer(4)
	write(tracker, "b")
	write(tracker, "c")
	if got := tracker.ChangedFeatures(); len(got) != 1 || !got[0].On {
		t.Fatalf("after enabling: %+v", got)
	}
}

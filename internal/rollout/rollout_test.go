package rollout

import (
	"slices"
	"testing"

	"github.com/barrowbridge/barrowbridge/wire"
)

// scene is a book with its controllers a, b and c, of which those in up are present.
func scene(up map[string]wire.Node) *Tracker {
	return New([]string{Chains}, []string{"a", "b", "c"}, up)
}

func newer(boot uint64) wire.Node { return wire.Node{Boot: boot, Features: []string{Chains}} }

// write has a controller of the book do what is due, and tells of which controller it wrote.
func write(b *Tracker, node string) string {
	p := b.present[node]
	n, rec, due := b.DueRecord(Incarnation{Node: node, Boot: p.Boot, Features: p.Features, Version: "v"})
	if due {
		b.Remember(n, rec)
	}
	return n
}

func TestOnOnceAllAreKnownToUnderstand(t *testing.T) {
	up := map[string]wire.Node{"a": newer(1), "b": {Boot: 2}, "c": newer(3)}
	b := scene(up)
	if got := b.ControllersLacking(Chains); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Fatalf("nothing is written down yet, lack: %v", got)
	}
	write(b, "a")
	write(b, "c")
	if got := b.ControllersLacking(Chains); !slices.Equal(got, []string{"b"}) {
		t.Fatalf("lack: %v", got)
	}
	delete(up, "b") // dies before its turn, and may come back as it was
	if b.Enabled(Chains) {
		t.Fatal("on, while one that never said so is down")
	}
	up["b"] = newer(9)
	if b.Enabled(Chains) {
		t.Fatal("on before it is written down")
	}
	write(b, "b")
	if !b.Enabled(Chains) {
		t.Fatalf("lack: %v", b.ControllersLacking(Chains))
	}
	delete(up, "a")
	if !b.Enabled(Chains) {
		t.Fatal("off while one that understands it is down")
	}
}

// Back to the old version: it turns the feature off at once, and stays held against when it is
// down again, also if its own earlier life had said otherwise.
func TestOneThatComesBackOldTurnsItOff(t *testing.T) {
	up := map[string]wire.Node{"a": newer(1), "b": newer(2), "c": newer(3)}
	b := scene(up)
	for n := range up {
		write(b, n)
	}
	up["b"] = wire.Node{Boot: 7}
	if b.Enabled(Chains) {
		t.Fatal("on with an old one present")
	}
	if n := write(b, "c"); n != "" {
		t.Fatalf("c wrote of %s, though a is the first by name", n)
	}
	if n := write(b, "b"); n != "" {
		t.Fatalf("an old one wrote of %s", n)
	}
	if n := write(b, "a"); n != "b" {
		t.Fatalf("a wrote of %q", n)
	}
	if n := write(b, "a"); n != "" {
		t.Fatalf("a wrote again, of %s", n)
	}
	delete(up, "b")
	if b.Enabled(Chains) {
		t.Fatal("on while one that came back old is down")
	}
	up["b"] = newer(8)
	write(b, "b")
	if !b.Enabled(Chains) {
		t.Fatal("off after it came back new")
	}
}

func TestOneOutsideTheSettingsCounts(t *testing.T) {
	up := map[string]wire.Node{"a": newer(1), "b": newer(2), "c": newer(3)}
	b := scene(up)
	for n := range up {
		write(b, n)
	}
	up["z"] = wire.Node{Boot: 4}
	if got := b.ControllersLacking(Chains); !slices.Equal(got, []string{"z"}) {
		t.Fatalf("lack: %v", got)
	}
}

// A life says what it understands once its presence stands in the mirror, not before, and once.
func TestDueOncePerLife(t *testing.T) {
	up := map[string]wire.Node{}
	b := scene(up)
	life := Incarnation{Node: "a", Boot: 5, Features: []string{Chains}, Version: "v"}
	if _, _, due := b.DueRecord(life); due {
		t.Fatal("due before the presence stands")
	}
	up["a"] = newer(4)
	if _, _, due := b.DueRecord(life); due {
		t.Fatal("due while an earlier life's presence stands")
	}
	up["a"] = newer(5)
	n, rec, due := b.DueRecord(life)
	if !due || n != "a" || rec.Boot != 5 || rec.Version != "v" || !slices.Equal(rec.Features, life.Features) {
		t.Fatalf("%q %+v %v", n, rec, due)
	}
	b.Remember(n, rec)
	if _, _, due := b.DueRecord(life); due {
		t.Fatal("due twice")
	}
	b.Remember("a", wire.Version{})
	if _, _, due := b.DueRecord(life); !due {
		t.Fatal("not due though the record is gone")
	}
}

func TestViewAndTurned(t *testing.T) {
	up := map[string]wire.Node{"a": newer(1), "b": {Boot: 2}}
	b := scene(up)
	write(b, "a")
	v := b.View("a")
	if len(v.Controllers) != 3 || v.Controllers[0].Version != "v" || !v.Controllers[1].Present || v.Controllers[1].Boot != 2 || v.Controllers[2].Present {
		t.Fatalf("%+v", v)
	}
	if f := v.Features[0]; f.On || !slices.Equal(f.HeldFor, []string{"b", "c"}) {
		t.Fatalf("%+v", f)
	}
	if got := b.ChangedFeatures(); len(got) != 1 || got[0].On {
		t.Fatalf("first told: %+v", got)
	}
	if got := b.ChangedFeatures(); len(got) != 0 {
		t.Fatalf("told again: %+v", got)
	}
	up["b"], up["c"] = newer(3), newer(4)
	write(b, "b")
	write(b, "c")
	if got := b.ChangedFeatures(); len(got) != 1 || !got[0].On {
		t.Fatalf("switched on: %+v", got)
	}
}

package supply

import (
	"testing"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/reportsize"
	"github.com/barrowbridge/barrowbridge/wire"
)

var oneTask = placement.Size{CPUs: 1, MemGB: 2, ReportBytes: float64(reportsize.LongestEntry)}

// Capacity is taken once, by the requests that may use it: idle work does not count what other idle
// work uses, and urgent work does not count machines that are late.
func TestTake(t *testing.T) {
	full := placement.Size{CPUs: 4, MemGB: 16, ReportBytes: 4 * float64(reportsize.LongestEntry)}
	p := Pool{
		{Type: "std", Zone: "n", Free: full, IdleUse: placement.Size{CPUs: 3, MemGB: 6}},
		{Type: "std", Zone: "s", Spot: true, Free: full},
		{Type: "std", Zone: "n", Free: full, BootLate: true},
	}
	for _, x := range []struct {
		name    string
		request Request
		want    int
		got     int
	}{
		{"idle, not spot", Request{Size: oneTask, Idle: true}, 9, 5}, // 1 beside idle work, 4 on the machine that is late
		{"urgent, spot", Request{Size: oneTask, Spot: true, Urgent: true}, 9, 7},
		{"normal, what is left", Request{Size: oneTask, Spot: true}, 9, 0},
	} {
		if got := p.Take(x.request, x.want); got != x.got {
			t.Errorf("%s: %d, want %d", x.name, got, x.got)
		}
	}
	if (Pool{{Type: "std", Zone: "n", Free: full}}).Take(Request{Types: []string{"big"}, Size: oneTask}, 1)+
		(Pool{{Type: "std", Zone: "n", Free: full}}).Take(Request{Zone: "s", Size: oneTask}, 1) != 0 {
		t.Error("capacity of another machine type or zone was taken")
	}
}

func TestOffersAndNeeds(t *testing.T) {
	types := map[string]wire.MachineType{
		"std":  {Name: "std", CPUs: 4, MemoryGB: 16, Price: 0.2, SpotPrice: 0.05, Zones: []string{"n", "s"}},
		"big":  {Name: "big", CPUs: 16, MemoryGB: 64, Price: 0.7, Zones: []string{"n"}},
		"tiny": {Name: "tiny", CPUs: 0.5, MemoryGB: 1, Price: 0.01, Zones: []string{"n"}},
	}
	n := wire.Need{CPUs: 1, MemGB: 2, Tasks: 9, Spot: true}
	offers := Offers(types, n, "s", true)
	if len(offers) != 5 || !offers[0].Spot || offers[0].Zone != "s" ||
		offers[0].MachineCount(9, 50) != 3 || offers[2].Type != "big" {
		t.Errorf("offers %+v", offers)
	}
	if offers = Offers(types, n, "s", false); offers[0].Spot || len(offers) != 3 {
		t.Errorf("offers without spot machines: %+v", offers)
	}
	list := MergeNeed(MergeNeed(MergeNeed(nil, n, 2), n, 2), wire.Need{CPUs: 2, Tasks: 1}, 2)
	if list = MergeNeed(list, wire.Need{CPUs: 3, Tasks: 1}, 2); len(list) != 2 || list[0].Tasks != 18 {
		t.Errorf("needs %+v", list)
	}
}

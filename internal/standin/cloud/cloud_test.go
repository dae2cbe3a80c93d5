package cloud

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/wire"
)

const sec = time.Second

func params() Params {
	return Params{Types: []wire.MachineType{{Name: "std", CPUs: 4, Price: 3.6, SpotPrice: 1.8, BootS: 10, Zones: []string{"a", "b"}}},
		Otherwise: 5, ListLag: 4 * sec, Notice: 8 * sec}
}

func names(r Reply) []string { m, _ := r.Body.(wire.MachineNames); return m.Machines }

// A rental request that was granted gets the same answer again and rents only once. A request beyond the
// free capacity is granted in part, one without any is refused and can be repeated under its name.
func TestBookings(t *testing.T) {
	c := New(params(), rand.New(rand.NewPCG(1, 1)))
	req := wire.RentRequest{Request: "r1", Type: "std", Zone: "a", Count: 3}
	first := names(c.Rent(0, req))
	if again := names(c.Rent(5*sec, req)); len(first) != 3 || len(again) != 3 || again[0] != first[0] || len(c.Hosts(5*sec)) != 3 {
		t.Errorf("%v, then %v", first, again)
	}
	req.Request = "r2"
	if got := names(c.Rent(0, req)); len(got) != 2 {
		t.Errorf("capacity for 2 machines, requested 3, got %v", got)
	}
	req.Request = "r3"
	if r := c.Rent(0, req); r.Status != 503 || r.Body.(wire.Problem).Error != "no capacity" {
		t.Errorf("no free capacity: %+v", r)
	}
	c.Delete(sec, first)
	if got := names(c.Rent(sec, req)); len(got) != 3 {
		t.Errorf("repeated request after a refusal: %v", got)
	}
	for what, bad := range map[string]wire.RentRequest{"count": {Request: "x", Type: "std", Zone: "a", Count: 51}, "type": {Request: "x", Type: "no", Zone: "a", Count: 1},
		"zone": {Request: "x", Type: "std", Zone: "c", Count: 1}, "name": {Type: "std", Zone: "a", Count: 1}} {
		if r := c.Rent(0, bad); r.Status != 400 {
			t.Errorf("bad %s: %d", what, r.Status)
		}
	}
}

// A deleted machine is charged for at least a minute, one that never boots until it is deleted, and a
// failed one until its failure.
func TestCharges(t *testing.T) {
	c := New(params(), rand.New(rand.NewPCG(1, 1)))
	c.Trouble.Unborn = 1
	short := names(c.Rent(0, wire.RentRequest{Request: "a", Type: "std", Zone: "a", Count: 1}))
	dead := names(c.Rent(0, wire.RentRequest{Request: "b", Type: "std", Zone: "a", Count: 1}))
	c.Advance(30 * sec)
	c.Delete(10*sec, short)
	c.Die(100*sec, dead[0])
	if got := c.Cost(1000 * sec); got < 0.1599 || got > 0.1601 { // 60 s and 100 s at 3.6 per hour
		t.Errorf("charged %g, want 0.16", got)
	}
}

// Lists are outdated, sometimes more than the list before, but were correct at their time: a machine
// that has existed for longer than the list lag is listed until it is gone, and not after that.
func TestLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := params()
		p.Otherwise = 1000
		c := New(p, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now, n := Time(0), 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			c.Advance(now)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				n++
				c.Rent(now, wire.RentRequest{Request: string(rune('a' + n)), Type: "std", Zone: "b", Count: 2})
			case 1:
				if h := c.Hosts(now); len(h) > 0 {
					c.Delete(now, []string{h[0].Name})
				}
			default:
				after, listed := "", map[string]bool{}
				l := c.List(now, "", 500).Body.(wire.MachineList)
				for _, m := range l.Machines {
					if !before(after, m.Name) || m.AgeS < 0 {
						t.Fatalf("%s after %s, age %g", m.Name, after, m.AgeS)
					}
					after, listed[m.Name] = m.Name, true
					if h := c.Host(m.Name); h == nil || h.GoneAt <= now-2*p.ListLag {
						t.Fatalf("%s is listed but has been gone for longer than the list lag", m.Name)
					}
				}
				for _, h := range c.Hosts(now) {
					if h.Created <= now-2*p.ListLag && !listed[h.Name] {
						t.Fatalf("%s has existed for longer than the list lag but is not listed", h.Name)
					}
				}
			}
		}
	})
}

// Spot machines are taken back, most of them with a notice of half to one and a half times the nominal
// length; other machines are not taken back.
func TestSpotNotices(t *testing.T) {
	p := params()
	p.SpotPerHour, p.Silent, p.Otherwise = 30, 0.3, 100
	c := New(p, rand.New(rand.NewPCG(3, 1)))
	for _, spot := range []bool{true, false} {
		c.Rent(0, wire.RentRequest{Request: "x" + map[bool]string{true: "s"}[spot], Type: "std", Zone: "a", Spot: spot, Count: 50})
	}
	noticed, gone := map[string]Time{}, 0
	for now := Time(0); now < 20*time.Minute; now += 100 * time.Millisecond {
		for _, e := range c.Advance(now) {
			switch e.Kind {
			case Noticed:
				noticed[e.Machine] = now + e.Notice
				if e.Notice < 3900*time.Millisecond || e.Notice > 12100*time.Millisecond {
					t.Errorf("notice of %v, want half to one and a half times 8 s", e.Notice)
				}
			case Gone:
				gone++
				if at, told := noticed[e.Machine]; told && (now < at || now > at+200*time.Millisecond) {
					t.Errorf("%s was to be taken back at %v and was taken back at %v", e.Machine, at, now)
				}
			}
		}
	}
	if gone < 45 || gone > 50 || len(noticed) < 25 || len(noticed) >= gone {
		t.Errorf("%d of 50 spot machines taken back, %d with a notice", gone, len(noticed))
	}
}

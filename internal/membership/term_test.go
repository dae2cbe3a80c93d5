package membership

import (
	"testing"
	"time"
)

// A free record is claimed once at a time; a term begins knowing nothing, and ends with all that it knew. Who has
// resigned claims nothing for a while.
func TestTerm(t *testing.T) {
	x, s := NewTerm(time.Second), time.Second
	if x.StartClaim(0, false) || !x.StartClaim(s, true) || x.StartClaim(5*s, true) {
		t.Error("a free one, once at a time")
	}
	if x.WriteFinished(); !x.StartClaim(5*s, true) {
		t.Error("again after it failed")
	}
	if x.WriteFinished(); x.StartClaim(5500*time.Millisecond, true) {
		t.Error("not before the pause is over")
	}
	if began, ended := x.ObserveLeader(6*s, true, 40); !began || ended || x.Since() != 6*s {
		t.Error("begun")
	}
	if began, ended := x.ObserveLeader(7*s, true, 40); began || ended {
		t.Error("it goes on")
	}
	if ok, _ := x.Fenced(7*s, 39, true); ok {
		t.Error("the mirror has not reached the term")
	}
	if ok, _ := x.Fenced(7*s, 40, true); !ok {
		t.Error("it has")
	}
	x.WriteUncertain()
	if ok, renew := x.Fenced(8*s, 50, false); ok || renew {
		t.Error("no write without a key")
	}
	if ok, renew := x.Fenced(8*s, 50, true); ok || !renew {
		t.Error("the record is to be written anew")
	}
	if x.StartResignation(8*s, s) {
		t.Error("one write at a time")
	}
	x.FenceWritten(false, 0)
	if ok, renew := x.Fenced(8500*time.Millisecond, 50, true); ok || renew {
		t.Error("not before the pause is over")
	}
	x.Fenced(9*s, 50, true)
	x.FenceWritten(true, 60)
	if ok, _ := x.Fenced(9*s, 59, true); ok {
		t.Error("the mirror has not reached the new record")
	}
	if ok, _ := x.Fenced(9*s, 60, true); !ok {
		t.Error("nothing older can be executed")
	}
	if !x.StartResignation(10*s, 5*s) {
		t.Error("resigned")
	}
	x.WriteFinished()
	if _, ended := x.ObserveLeader(11*s, false, 0); !ended || x.Since() != 0 || x.StartClaim(14*s, true) || !x.StartClaim(15*s, true) {
		t.Error("over, and it stands aside for a while")
	}
	if began, _ := x.ObserveLeader(16*s, true, 70); !began {
		t.Error("another term")
	}
	if x.WriteUncertain(); !x.StartResignation(16*s, s) {
		t.Error("a claim that was won is over")
	}
}

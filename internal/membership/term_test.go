package membership

import (
	"testing"
	"time"
)

// A free leader record is claimed once at a time. A term begins without an uncertain write and ends with
// everything that it knew. A controller that has resigned does not claim the record for a while.
func TestTerm(t *testing.T) {
	term, s := NewTerm(time.Second), time.Second
	if term.StartClaim(0, false) || !term.StartClaim(s, true) || term.StartClaim(5*s, true) {
		t.Error("must claim only a free record, once at a time")
	}
	if term.WriteFinished(); !term.StartClaim(5*s, true) {
		t.Error("must claim again after a failed claim")
	}
	if term.WriteFinished(); term.StartClaim(5500*time.Millisecond, true) {
		t.Error("must not write before the pause is over")
	}
	if began, ended := term.ObserveLeader(6*s, true, 40); !began || ended || term.Since() != 6*s {
		t.Error("the term has not begun")
	}
	if began, ended := term.ObserveLeader(7*s, true, 40); began || ended {
		t.Error("the term must go on")
	}
	if ok, _ := term.Fenced(7*s, 39, true); ok {
		t.Error("fenced before the mirror has reached the start of the term")
	}
	if ok, _ := term.Fenced(7*s, 40, true); !ok {
		t.Error("not fenced though the mirror has reached the start of the term")
	}
	term.WriteUncertain()
	if ok, renew := term.Fenced(8*s, 50, false); ok || renew {
		t.Error("must not write without a registered key")
	}
	if ok, renew := term.Fenced(8*s, 50, true); ok || !renew {
		t.Error("the record must be rewritten")
	}
	if term.StartResignation(8*s, s) {
		t.Error("must write once at a time")
	}
	term.FenceWritten(false, 0)
	if ok, renew := term.Fenced(8500*time.Millisecond, 50, true); ok || renew {
		t.Error("must not write before the pause is over")
	}
	term.Fenced(9*s, 50, true)
	term.FenceWritten(true, 60)
	if ok, _ := term.Fenced(9*s, 59, true); ok {
		t.Error("fenced before the mirror has reached the rewritten record")
	}
	if ok, _ := term.Fenced(9*s, 60, true); !ok {
		t.Error("not fenced though no older write can be executed")
	}
	if !term.StartResignation(10*s, 5*s) {
		t.Error("must resign")
	}
	term.WriteFinished()
	if _, ended := term.ObserveLeader(11*s, false, 0); !ended || term.Since() != 0 || term.StartClaim(14*s, true) || !term.StartClaim(15*s, true) {
		t.Error("the term must be over, and the next claim must wait for the pause")
	}
	if began, _ := term.ObserveLeader(16*s, true, 70); !began {
		t.Error("another term must begin")
	}
	if term.WriteUncertain(); !term.StartResignation(16*s, s) {
		t.Error("a claim that was won must not count as in flight")
	}
}

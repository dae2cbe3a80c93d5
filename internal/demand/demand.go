// Package demand decides how a shard's holder tells what machines it lacks, and which of
// what was told counts. Wants change several times a second while work arrives; written
// each time they took a fifth of the changes of the state service just when acceptances
// and starts needed them. So they go by message, and the record follows at leisure: it is
// what counts where messages do not get through.
//
// Pure: time comes in, nothing else does.
package demand

import (
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Told is a want on its way to the other controllers: of a shard held under a token, the
// Nth under it.
type Told struct {
	Shard int         `msgpack:"shard"`
	Token uint64      `msgpack:"token"`
	N     uint64      `msgpack:"n"`
	Want  wire.Demand `msgpack:"want"`
}

// Pace bounds how often wants are told.
type Pace struct {
	Again time.Duration // a standing want is told again after this
	Write time.Duration // between writes of a shard's record, while messages get through
	Keep  time.Duration // a message counts for so long
}

// Teller is the holder's side of one shard.
type Teller struct {
	pace  Pace
	n     uint64
	told  wire.Demand
	at    time.Duration // when it was last told
	wrote time.Duration
	ever  bool // told before
	has   bool // written before
}

// NewTeller returns the teller of a shard that has been told of nothing.
func NewTeller(p Pace) *Teller { return &Teller{pace: p} }

// Next says whether a want is to be told by message, with which number, and whether it is
// to be written: record is what stands in the state, heard whether messages reach those
// who act on wants.
func (t *Teller) Next(now time.Duration, want, record wire.Demand, heard bool) (n uint64, tell, write bool) {
	stands := Same(want, record)
	if !t.ever || !Same(want, t.told) || now-t.at >= t.pace.Again && (!stands || len(want.Needs) > 0) {
		t.n++
		t.told, t.at, t.ever, tell = want, now, true, true
	}
	if !stands && (!heard || !t.has || now-t.wrote >= t.pace.Write) {
		t.wrote, t.has, write = now, true, true
	}
	return t.n, tell, write
}

// Board is what a controller has heard of the wants of others.
type Board struct {
	pace  Pace
	heard map[int]post
}

type post struct {
	Told
	at time.Duration
}

// NewBoard returns an empty board.
func NewBoard(p Pace) *Board { return &Board{pace: p, heard: map[int]post{}} }

// Hear takes a message. An older one of the same holder changes nothing.
func (b *Board) Hear(now time.Duration, t Told) {
	if old, ok := b.heard[t.Shard]; ok && (t.Token < old.Token || t.Token == old.Token && t.N <= old.N) {
		return
	}
	b.heard[t.Shard] = post{t, now}
}

// Of is the want of a shard held under token that counts now: the last message of that
// holder, unless it has gone silent, and otherwise the record.
func (b *Board) Of(now time.Duration, shard int, token uint64, record wire.Demand) wire.Demand {
	if p, ok := b.heard[shard]; ok && p.Token == token && now-p.at < b.pace.Keep {
		return p.Want
	}
	return record
}

// Shorter leaves out the last need, and tells whether there was one: those beyond what a
// record holds are asked for once the first are served.
func Shorter(w *wire.Demand) bool {
	if len(w.Needs) == 0 {
		return false
	}
	w.Needs = w.Needs[:len(w.Needs)-1]
	return true
}

// Same tells whether two wants ask for the same. Which blocks were known matters only
// while something is asked for.
func Same(x, y wire.Demand) bool {
	if len(x.Needs) != len(y.Needs) || len(x.Needs) > 0 && x.Seen != y.Seen {
		return false
	}
	for i := range x.Needs {
		if x.Needs[i].Tasks != y.Needs[i].Tasks || !SameKind(x.Needs[i], y.Needs[i]) {
			return false
		}
	}
	return true
}

// SameKind tells whether two needs differ by the number of tasks at most.
func SameKind(x, y wire.Need) bool {
	if len(x.Types) != len(y.Types) || x.Zone != y.Zone || x.Spot != y.Spot || x.CPUs != y.CPUs || x.GPUs != y.GPUs || x.MemGB != y.MemGB ||
		x.Starved != y.Starved || x.Booting != y.Booting || x.Tier != y.Tier {
		return false
	}
	for i := range x.Types {
		if x.Types[i] != y.Types[i] {
			return false
		}
	}
	return true
}

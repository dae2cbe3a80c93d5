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
type Announcement struct {
	Shard  int         `msgpack:"shard"`
	Token  uint64      `msgpack:"token"`
	Number uint64      `msgpack:"n"`
	Want   wire.Demand `msgpack:"want"`
}

// Pace bounds how often wants are told.
type Pace struct {
	RepeatInterval time.Duration // a standing want is told again after this
	WriteInterval  time.Duration // between writes of a shard's record, while messages get through
	MaxAge         time.Duration // a message counts for so long
}

// Teller is the holder's side of one shard.
type Publisher struct {
	pace         Pace
	number       uint64
	published    wire.Demand
	publishedAt  time.Duration // when it was last told
	writtenAt    time.Duration
	hasPublished bool // told before
	hasWritten   bool // written before
}

// NewTeller returns the teller of a shard that has been told of nothing.
func NewPublisher(pace Pace) *Publisher { return &Publisher{pace: pace} }

// Next says whether a want is to be told by message, with which number, and whether it is
// to be written: record is what stands in the state, heard whether messages reach those
// who act on wants.
func (p *Publisher) Next(now time.Duration, want, record wire.Demand, delivered bool) (number uint64, publish, write bool) {
	recorded := Equal(want, record)
	if !p.hasPublished || !Equal(want, p.published) || now-p.publishedAt >= p.pace.RepeatInterval && (!recorded || len(want.Needs) > 0) {
		p.number++
		p.published, p.publishedAt, p.hasPublished, publish = want, now, true, true
	}
	if !recorded && (!delivered || !p.hasWritten || now-p.writtenAt >= p.pace.WriteInterval) {
		p.writtenAt, p.hasWritten, write = now, true, true
	}
	return p.number, publish, write
}

// Board is what a controller has heard of the wants of others.
type Board struct {
	pace     Pace
	received map[int]receivedAnnouncement
}

type receivedAnnouncement struct {
	Announcement
	receivedAt time.Duration
}

// NewBoard returns an empty board.
func NewBoard(pace Pace) *Board { return &Board{pace: pace, received: map[int]receivedAnnouncement{}} }

// Hear takes a message. An older one of the same holder changes nothing.
func (b *Board) Receive(now time.Duration, announcement Announcement) {
	if old, ok := b.received[announcement.Shard]; ok && (announcement.Token < old.Token || announcement.Token == old.Token && announcement.Number <= old.Number) {
		return
	}
	b.received[announcement.Shard] = receivedAnnouncement{announcement, now}
}

// Of is the want of a shard held under token that counts now: the last message of that
// holder, unless it has gone silent, and otherwise the record.
func (b *Board) Current(now time.Duration, shard int, token uint64, record wire.Demand) wire.Demand {
	if p, ok := b.received[shard]; ok && p.Token == token && now-p.receivedAt < b.pace.MaxAge {
		return p.Want
	}
	return record
}

// Shorter leaves out the last need, and tells whether there was one: those beyond what a
// record holds are asked for once the first are served.
func DropLastNeed(want *wire.Demand) bool {
	if len(want.Needs) == 0 {
		return false
	}
	want.Needs = want.Needs[:len(want.Needs)-1]
	return true
}

// Same tells whether two wants ask for the same. Which blocks were known matters only
// while something is asked for.
func Equal(x, y wire.Demand) bool {
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

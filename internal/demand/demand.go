// Package demand decides when the holder of a shard publishes its unmet demand for machines, and
// which published demand counts. Unmet demand changes several times a second while work arrives.
// When each change was written, these writes took a fifth of the state service's changes, just when
// acceptances and starts needed them. Unmet demand is therefore sent to the other controllers as
// messages, and the stored record follows at a lower rate. The record counts where messages do not
// get through.
//
// The package has no clock and no I/O. Times are those of the caller's monotonic clock.
package demand

import (
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Announcement is a message about the unmet demand of a shard. Token is the token under which its
// holder holds the shard, Number the number of the message under that token.
type Announcement struct {
	Shard  int         `msgpack:"shard"`
	Token  uint64      `msgpack:"token"`
	Number uint64      `msgpack:"n"`
	Want   wire.Demand `msgpack:"want"`
}

// Pace bounds how often unmet demand is published.
type Pace struct {
	RepeatInterval time.Duration // unchanged demand is published again after this, until it is met and recorded
	WriteInterval  time.Duration // least time between writes of a shard's record while messages get through
	MaxAge         time.Duration // an announcement counts for this long after it was received
}

// Publisher decides when the holder of one shard publishes and writes its unmet demand.
type Publisher struct {
	pace         Pace
	number       uint64
	published    wire.Demand // unmet demand last published
	publishedAt  time.Duration
	writtenAt    time.Duration
	hasPublished bool
	hasWritten   bool
}

// NewPublisher returns a publisher of a shard whose demand has not been published yet.
func NewPublisher(pace Pace) *Publisher { return &Publisher{pace: pace} }

// Next reports whether unmet demand is to be published now, and with which number, and whether it
// is to be written. record is the demand stored in the state service. delivered reports whether
// messages reach the controllers that act on unmet demand.
func (p *Publisher) Next(now time.Duration, unmet, record wire.Demand, delivered bool) (number uint64, publish, write bool) {
	recorded := Equal(unmet, record)
	if !p.hasPublished || !Equal(unmet, p.published) || now-p.publishedAt >= p.pace.RepeatInterval && (!recorded || len(unmet.Needs) > 0) {
		p.number++
		p.published, p.publishedAt, p.hasPublished, publish = unmet, now, true, true
	}
	if !recorded && (!delivered || !p.hasWritten || now-p.writtenAt >= p.pace.WriteInterval) {
		p.writtenAt, p.hasWritten, write = now, true, true
	}
	return p.number, publish, write
}

// Board holds the unmet demand that a controller has received from others, by shard.
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

// Receive stores an announcement. It ignores announcements that are older than the stored one:
// those with a lower token, or with the same token and a number that is not higher.
func (b *Board) Receive(now time.Duration, announcement Announcement) {
	if old, ok := b.received[announcement.Shard]; ok && (announcement.Token < old.Token || announcement.Token == old.Token && announcement.Number <= old.Number) {
		return
	}
	b.received[announcement.Shard] = receivedAnnouncement{announcement, now}
}

// Current returns the unmet demand that counts now for a shard held under token: the last
// announcement of that holder unless it is too old, otherwise the stored record.
func (b *Board) Current(now time.Duration, shard int, token uint64, record wire.Demand) wire.Demand {
	if last, ok := b.received[shard]; ok && last.Token == token && now-last.receivedAt < b.pace.MaxAge {
		return last.Want
	}
	return record
}

// DropLastNeed removes the last need of a record that is too large, and reports whether there was
// one. Needs beyond what a record can hold are requested once the first ones are met.
func DropLastNeed(record *wire.Demand) bool {
	if len(record.Needs) == 0 {
		return false
	}
	record.Needs = record.Needs[:len(record.Needs)-1]
	return true
}

// Equal reports whether two records ask for the same machines. The blocks that were known (Seen)
// matter only while there are needs.
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

// SameKind reports whether two needs differ at most in their number of tasks.
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

package demand

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

var pace = Pace{RepeatInterval: time.Second, WriteInterval: 3 * time.Second, MaxAge: 3 * time.Second}

func demandFor(tasks int, seen uint64) wire.Demand {
	if tasks == 0 {
		return wire.Demand{Seen: seen}
	}
	return wire.Demand{Seen: seen, Needs: []wire.Need{{CPUs: 1, MemGB: 2, Tasks: tasks}}}
}

// Unmet demand that changes ten times a second for ten seconds is published each time and written
// four times. Where messages do not get through, each change is written.
func TestDemandIsWrittenLessOftenThanPublished(t *testing.T) {
	for _, delivered := range []bool{true, false} {
		publisher, written := NewPublisher(pace), 0
		published, record := 0, wire.Demand{}
		for i := range 100 {
			now := time.Duration(i) * 100 * time.Millisecond
			unmet := demandFor(1+i, 5)
			_, publish, write := publisher.Next(now, unmet, record, delivered)
			if publish {
				published++
			}
			if write {
				written, record = written+1, unmet
			}
		}
		if published != 100 || delivered && written != 4 || !delivered && written != 100 {
			t.Errorf("delivered %v: published %d times, written %d times", delivered, published, written)
		}
	}
}

// The record ends up equal to the last unmet demand even if nothing changes any more. Nothing is
// published after that.
func TestRecordFollowsLastDemand(t *testing.T) {
	publisher, record := NewPublisher(pace), wire.Demand{}
	last, messages := time.Duration(0), 0
	for i := range 200 {
		now := time.Duration(i) * 100 * time.Millisecond
		unmet := demandFor(max(0, 10-i), 0)
		_, publish, write := publisher.Next(now, unmet, record, true)
		if write {
			record, last = unmet, now
		}
		if publish && now > 5*time.Second {
			messages++
		}
	}
	if !Equal(record, demandFor(0, 0)) || last > 4*time.Second || messages != 0 {
		t.Errorf("record %+v written last at %v, %d messages afterwards", record, last, messages)
	}
}

// An announcement counts while its sender holds the shard and its messages arrive. Late
// announcements do not count.
func TestCurrentDemand(t *testing.T) {
	board, record := NewBoard(pace), demandFor(7, 1)
	board.Receive(0, Announcement{Shard: 1, Token: 4, Number: 2, Want: demandFor(3, 1)})
	board.Receive(time.Second, Announcement{Shard: 1, Token: 4, Number: 1, Want: demandFor(9, 1)}) // overtaken
	for _, x := range []struct {
		now   time.Duration
		token uint64
		want  int
	}{{time.Second, 4, 3}, {time.Second, 5, 7}, {3 * time.Second, 4, 7}} {
		if w := board.Current(x.now, 1, x.token, record); w.Needs[0].Tasks != x.want {
			t.Errorf("at %v under %d: %d tasks, want %d", x.now, x.token, w.Needs[0].Tasks, x.want)
		}
	}
	board.Receive(4*time.Second, Announcement{Shard: 1, Token: 3, Number: 9, Want: demandFor(1, 1)}) // an earlier holder
	if w := board.Current(4*time.Second, 1, 3, record); w.Needs[0].Tasks != 7 {
		t.Error("an announcement of an earlier holder counts")
	}
}

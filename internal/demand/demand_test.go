package demand

import (
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

var pace = Pace{RepeatInterval: time.Second, WriteInterval: 3 * time.Second, MaxAge: 3 * time.Second}

func want(tasks int, seen uint64) wire.Demand {
	if tasks == 0 {
		return wire.Demand{Seen: seen}
	}
	return wire.Demand{Seen: seen, Needs: []wire.Need{{CPUs: 1, MemGB: 2, Tasks: tasks}}}
}

// A want that changes ten times a second for ten seconds is told each time and written
// four times; where messages do not get through each change is written.
func TestWritesFollowAtLeisure(t *testing.T) {
	for _, heard := range []bool{true, false} {
		tell, wrote := NewPublisher(pace), 0
		told, record := 0, wire.Demand{}
		for i := range 100 {
			now := time.Duration(i) * 100 * time.Millisecond
			w := want(1+i, 5)
			_, m, write := tell.Next(now, w, record, heard)
			if m {
				told++
			}
			if write {
				wrote, record = wrote+1, w
			}
		}
		if told != 100 || heard && wrote != 4 || !heard && wrote != 100 {
			t.Errorf("heard %v: told %d times, written %d times", heard, told, wrote)
		}
	}
}

// The record ends as the last want, also if nothing changes any more; then nothing is told.
func TestTheRecordCatchesUp(t *testing.T) {
	tell, record := NewPublisher(pace), wire.Demand{}
	last, messages := time.Duration(0), 0
	for i := range 200 {
		now := time.Duration(i) * 100 * time.Millisecond
		w := want(max(0, 10-i), 0)
		_, m, write := tell.Next(now, w, record, true)
		if write {
			record, last = w, now
		}
		if m && now > 5*time.Second {
			messages++
		}
	}
	if !Equal(record, want(0, 0)) || last > 4*time.Second || messages != 0 {
		t.Errorf("record %+v written last at %v, %d messages afterwards", record, last, messages)
	}
}

// A message counts while its sender holds the shard and is heard; late ones do not.
func TestWhichWantCounts(t *testing.T) {
	b, record := NewBoard(pace), want(7, 1)
	b.Receive(0, Announcement{Shard: 1, Token: 4, Number: 2, Want: want(3, 1)})
	b.Receive(time.Second, Announcement{Shard: 1, Token: 4, Number: 1, Want: want(9, 1)}) // overtaken
	for _, x := range []struct {
		now   time.Duration
		token uint64
		want  int
	}{{time.Second, 4, 3}, {time.Second, 5, 7}, {3 * time.Second, 4, 7}} {
		if w := b.Current(x.now, 1, x.token, record); w.Needs[0].Tasks != x.want {
			t.Errorf("at %v under %d: %d tasks, want %d", x.now, x.token, w.Needs[0].Tasks, x.want)
		}
	}
	b.Receive(4*time.Second, Announcement{Shard: 1, Token: 3, Number: 9, Want: want(1, 1)}) // an earlier holder
	if w := b.Current(4*time.Second, 1, 3, record); w.Needs[0].Tasks != 7 {
		t.Error("an earlier holder's message counts")
	}
}

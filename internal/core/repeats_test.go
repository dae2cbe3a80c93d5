package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// Guards against a late answer to an earlier incarnation of a controller that passes reports on: taken for the
// answer to a report of the present one, it gave a worker the start commands of another, or once more those that it
// had carried out.
func TestAnswersToAnEarlierIncarnationAreDropped(t *testing.T) {
	t.Parallel()
	for _, back := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(back.String(), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 551, 3, func(w *world) { w.capacity, w.runS = 0, 5*sec })
			for i := range 16 {
				w.addMachine([]string{"n", "s"}[i%2], false, sec)
			}
			w.pollAll()
			w.run(8 * sec)
			holder, relay := w.shardRec("red").Holder, ""
			for _, n := range sortedKeys(w.nodes) {
				if n != holder {
					relay = n
				}
			}
			for _, n := range sortedKeys(w.nodes) {
				w.lost[n] = n != relay // all reports come through one controller
			}
			numbers := map[string]int{} // the incarnation that used each number
			var started *PeerMessage    // the last answer with starts to an earlier incarnation
			answered, late := 0, 0
			w.peerDelay = func(from string, v PeerSend) time.Duration {
				n := w.nodes[relay]
				switch answer, report := v.Msg.Answer, v.Msg.Relay; {
				case answer != nil && v.To == relay && slices.ContainsFunc(answer.Commands, isStart):
					started, answered = &v.Msg, n.incarnation
				case report != nil && from == relay:
					w.checkNumber(numbers, fmt.Sprint("report ", report.ID), n.incarnation)
					if started != nil && answered != n.incarnation {
						late++
						w.at(time.Millisecond, w.lateAnswer(n, *started, report.ID))
						started = nil
					}
				case from == relay && v.Msg.Nonce != 0 && !v.Msg.Reply:
					w.checkNumber(numbers, fmt.Sprint("ping ", v.Msg.Nonce), n.incarnation)
				}
				return 0
			}
			for i := range 12 {
				s := spec(fmt.Sprintf("job-%06d", i), "red", wire.ShapeBatch, 8)
				w.at(time.Duration(i)*2*sec, func() {
					w.submit(s)
					if i%3 == 2 {
						w.at(sec, func() { w.abort(*s.ID) })
					}
				})
			}
			for i := range 12 {
				w.at(time.Duration(3000+i*2500)*time.Millisecond, func() { w.bounce(back, relay) })
			}
			w.run(90 * sec)
			if late < 5 {
				t.Errorf("only %d late answers", late)
			}
			if u := w.unfinished(); u != nil {
				t.Errorf("not done: %v", u)
			}
		})
	}
}

// isStart reports whether a command starts a task.
func isStart(c wire.Command) bool { return c.Verb == wire.VerbRun }

// lateAnswer delivers an answer to an earlier incarnation of a controller, as it would be had that incarnation sent
// as many messages before as the present one before the report of that number.
func (w *world) lateAnswer(n *ctrl, message PeerMessage, report uint64) func() {
	answer := *message.Answer
	answer.ID = answer.ID>>incarnationShift<<incarnationShift | report&(1<<incarnationShift-1)
	message.Answer = &answer
	return func() { w.step(n, Peer{Msg: message}) }
}

// checkNumber reports an error if an earlier incarnation has used the number of a message.
func (w *world) checkNumber(numbers map[string]int, number string, incarnation int) {
	if by, used := numbers[number]; used && by != incarnation {
		w.t.Errorf("%v: number of %s was used by incarnation %d and by %d", w.now, number, by, incarnation)
	}
	numbers[number] = incarnation
}

// Guards against attempt numbers that repeat within an incarnation: the count ran into the bits of the incarnation
// after 16.7 million attempts, which very small tasks reach within hours.
func TestAttemptNumbersOutlastManyAttempts(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 552, 1)
	w.run(5 * sec)
	c := w.nodes["c0"].core
	used := map[uint64]uint64{}
	for _, count := range []uint64{1, 2, 1<<24 - 1, 1 << 24, 1<<24 + 1, 1<<24 + 2, 1<<25 + 1, 1<<32 - 1} {
		c.lastAttemptNumber = count
		number := c.attemptNumber()
		if by, taken := used[number]; taken || number>>incarnationShift != c.presence.Boot() {
			t.Errorf("attempts %d and %d of incarnation %d have number %d", by, count, c.presence.Boot(), number)
		}
		used[number] = count
	}
}

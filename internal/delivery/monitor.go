// Package delivery judges whether a worker hears what it is answered. Its reports may arrive
// while answers and commands do not: it looks alive, takes no order, and its lease runs out.
//
// What an answer carried shows in the next report: an order is carried out, a higher token is
// named, and it comes the way that was answered, since a worker stays with a node that answers
// 200 unless a report of its was lost, which leaves a gap in their numbers. It has one in flight, so a newer report that shows none of it proves that the
// answer before it did not arrive in time. Once that may happen to anybody; twice in
// a row is deafness. A session that ended though it had just been answered counts as one.
//
// Plain structures: no clock, no I/O, not for concurrent use.
package delivery

import (
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// misses in a row that make a worker deaf.
const missedAnswersLimit = 2

// Ear is what is known of one worker. The zero Ear hears.
type Monitor struct {
	commands      []wire.Command // by the last answer
	token         uint64         // that it carried
	seenToken     uint64         // what the worker named when it was answered
	via           string         // the controller that passed the report on; "": none
	nextSeq       uint64         // number of the report after the one that was answered; 0: judged already
	missedAnswers int
	testedAt      time.Duration // when a doubt was last put to the test
}

// Answered notes what a report, which came through a controller, is answered with.
func (m *Monitor) Answered(r *wire.Report, token uint64, via string, commands []wire.Command) {
	m.seenToken, m.token, m.via, m.commands, m.nextSeq = r.Token, token, via, commands, r.Seq+1
}

// Report judges by the next newer report. lapsed: its session is a later one, though the one
// before had been answered within its lease. It tells whether that has changed the verdict.
func (m *Monitor) ObserveReport(r *wire.Report, via string, lapsed bool) (changed bool) {
	before := m.MissesAnswers()
	received, missed := m.compareWithAnswer(r)
	missed = missed || r.Seq == m.nextSeq && via != m.via
	switch {
	case missed, lapsed:
		m.missedAnswers++
	case received:
		m.missedAnswers = 0
	}
	m.commands, m.token, m.nextSeq = nil, 0, 0
	return m.MissesAnswers() != before
}

// shows tells whether a report proves that the last answer was heard, or that it was not.
func (m *Monitor) compareWithAnswer(r *wire.Report) (received, missed bool) {
	if m.token > m.seenToken {
		received, missed = r.Token >= m.token, r.Token < m.token
	}
	if len(m.commands) == 0 || missed {
		return received, missed
	}
	type attemptKey struct {
		task    string
		attempt uint64
	}
	status := map[attemptKey]string{}
	for _, t := range r.Attempts {
		status[attemptKey{t.Task, t.Attempt}] = t.Status
	}
	for _, command := range m.commands {
		taskStatus, there := status[attemptKey{command.Task, command.Attempt}]
		switch {
		case command.Verb == wire.VerbRun && !there, command.Verb == wire.VerbClear && there, command.Verb == wire.VerbStop && there && (taskStatus == wire.TaskRunning || taskStatus == wire.TaskPulling):
			return false, true
		}
	}
	return true, false
}

// Deaf tells whether the worker does not hear us.
func (m *Monitor) MissesAnswers() bool { return m.missedAnswers >= missedAnswersLimit }

// Unanswered notes that a call to a worker that has missed an answer was not answered either.
// It tells whether that has changed the verdict.
func (m *Monitor) CallUnanswered() (changed bool) {
	if m.missedAnswers != missedAnswersLimit-1 {
		return false
	}
	m.missedAnswers++
	return true
}

// Missed tells whether the last answer was missed, and the worker may be called to see.
func (m *Monitor) Suspected() bool { return m.missedAnswers == missedAnswersLimit-1 }

// Test tells whether the next answer should carry a higher token, so that the report after it
// shows whether it was heard: after a miss, and where something looks odd, at most once in so
// long, since a worker reports at once when it sees one.
func (m *Monitor) StartTest(now time.Duration, suspicious bool, interval time.Duration) bool {
	if m.missedAnswers == 0 && (!suspicious || m.testedAt > 0 && now-m.testedAt < interval) {
		return false
	}
	m.testedAt = now
	return true
}

// Package delivery detects workers that do not receive the controller's answers. Their reports may
// arrive while answers and commands do not: such a worker seems alive, but runs no command, and its
// lease expires.
//
// The effect of an answer shows in the next report: commands are carried out, a higher token is
// named, and the report comes by the route that was answered. A worker stays with a controller that
// answers 200 unless one of its reports was lost, which leaves a gap in their sequence numbers. A
// worker has one report in flight, so a newer report that shows no effect proves that the answer
// before it did not arrive in time. One missed answer may be chance; two in a row mean that the
// worker does not receive answers. A session that ended although it had just been answered counts as
// one missed answer.
//
// Plain structures: no clock, no I/O, not for concurrent use.
package delivery

import (
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// missedAnswersLimit is the number of answers missed in a row after which a worker counts as not
// receiving answers.
const missedAnswersLimit = 2

// Monitor tracks whether one worker receives its answers. A zero Monitor assumes that it does.
type Monitor struct {
	commands      []wire.Command // commands in the last answer
	token         uint64         // token in the last answer
	seenToken     uint64         // token that the answered report named
	via           string         // controller that relayed the answered report; "" if none
	nextSeq       uint64         // sequence number of the report after the answered one; 0 once evaluated
	missedAnswers int            // in a row
	testedAt      time.Duration  // when the last test began, see StartTest
}

// Answered records the answer to a report. via is the controller that relayed the report, or "".
func (m *Monitor) Answered(r *wire.Report, token uint64, via string, commands []wire.Command) {
	m.seenToken, m.token, m.via, m.commands, m.nextSeq = r.Token, token, via, commands, r.Seq+1
}

// ObserveReport evaluates the last answer by the next newer report. lapsed: the report has a later
// session, although the previous session had been answered within its lease. It reports whether
// MissesAnswers has changed.
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

// compareWithAnswer reports whether a report proves that the last answer was received, or that it was
// missed. Both are false if it proves neither.
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

// MissesAnswers reports whether the worker does not receive answers.
func (m *Monitor) MissesAnswers() bool { return m.missedAnswers >= missedAnswersLimit }

// CallUnanswered records that a call to the worker was not answered, which counts only after a missed
// answer. It reports whether MissesAnswers has changed.
func (m *Monitor) CallUnanswered() (changed bool) {
	if m.missedAnswers != missedAnswersLimit-1 {
		return false
	}
	m.missedAnswers++
	return true
}

// Suspected reports whether the worker has missed one answer, so that it should be probed by a call.
func (m *Monitor) Suspected() bool { return m.missedAnswers == missedAnswersLimit-1 }

// StartTest reports whether the next answer should carry a higher token, so that the report after it
// shows whether the answer was received. That is so after every missed answer, and for suspicious
// reports at most once per interval, because a worker that sees a higher token reports at once.
func (m *Monitor) StartTest(now time.Duration, suspicious bool, interval time.Duration) bool {
	if m.missedAnswers == 0 && (!suspicious || m.testedAt > 0 && now-m.testedAt < interval) {
		return false
	}
	m.testedAt = now
	return true
}

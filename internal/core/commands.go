package core

import (
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// commands returns the commands for a machine, in answer to its report: stops first, for they end what
// no longer may run, then what removes ended attempts from the report, then starts. What exceeds
// tuning.MaxReplyCommands follows with the next report.
func (c *Core) commands(m *machine) []wire.Command {
	commands := c.stopCommands(m)
	if !m.accounted {
		return commands
	}
	keys := sortedAttemptKeys(m)
	for _, k := range keys {
		if a := m.attempts[k]; c.clearable(a) && len(commands) < tuning.MaxReplyCommands {
			commands = append(commands, wire.Command{Verb: wire.VerbClear, Task: k.task, Attempt: k.number})
		}
	}
	for _, k := range keys {
		a := m.attempts[k]
		if len(commands) >= tuning.MaxReplyCommands {
			break
		}
		if a.status != "" || !c.startable(a) {
			continue
		}
		if run, now := c.runCommand(a); now {
			a.startSent = true
			c.recordTaskRecovery(trail.TaskRestarted, a)
			c.logStart(a, c.jobs[a.job])
			commands = append(commands, run)
		}
	}
	return commands
}

// jobIsLive reports whether the job of an attempt is live and held here.
func (c *Core) jobIsLive(a *attempt) bool {
	e := c.jobs[a.job]
	return e != nil && e.run != nil
}

// stopCommands returns the commands that stop attempts on a machine, at most tuning.MaxReplyCommands.
func (c *Core) stopCommands(m *machine) []wire.Command {
	commands := []wire.Command{}
	if !m.accounted {
		return commands
	}
	for _, k := range sortedAttemptKeys(m) {
		a := m.attempts[k]
		if a.status == wire.TaskEnded || !a.startSent || c.jobIsLive(a) && !a.stopping {
			continue
		}
		if len(commands) >= tuning.MaxReplyCommands {
			break
		}
		graceS := a.stopGraceS
		if !c.jobIsLive(a) {
			graceS = 0
		}
		commands = append(commands, wire.Command{Verb: wire.VerbStop, Task: k.task, Attempt: k.number, GraceS: &graceS})
	}
	return commands
}

// clearable reports whether an attempt has ended and its outcome is recorded or no longer matters.
func (c *Core) clearable(a *attempt) bool {
	return a.status == wire.TaskEnded &&
		(!c.jobIsLive(a) || a.cause != wire.CauseDone || c.durableDone(c.jobs[a.job]).Contains(a.taskIndex))
}

// startable reports whether the start of a reserved attempt is recorded in the state service, so that
// the command may be sent.
func (c *Core) startable(a *attempt) bool {
	e := c.jobs[a.job]
	return e != nil && e.run != nil && !a.stopping && !a.machine.fresh && e.record.Started > a.taskIndex &&
		(!tracksMachines(&e.record) || recordedMachine(&e.record, a.taskIndex) == a.machine.name)
}

// logStart records which token a start command carries and which stored records it rests on.
func (c *Core) logStart(a *attempt, e *jobEntry) {
	slot, slotVersion := c.startLog.StoredIn(a.job)
	c.log(2, "start command sent", "task", a.key.task, "try", a.key.number, "machine", a.machine.name,
		"token", c.answerToken(a.machine, c.blocks[a.machine.block]), "mirror", c.mirrorRevision,
		"job_version", e.version, "slot", slot, "slot_version", slotVersion)
}

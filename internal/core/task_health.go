package core

import (
	"fmt"

	"github.com/barrowbridge/barrowbridge/internal/health"
	"github.com/barrowbridge/barrowbridge/internal/trail"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// newHealth returns a record of task failures without any evidence.
func newHealth() *health.Tracker {
	return health.New(health.Params{
		ProvenJobWeight:       tuning.BlameSoundJob,
		UnprovenJobWeight:     tuning.BlameNewJob,
		FailsElsewhereWeight:  tuning.BlameElsewhere,
		SuspectCertainty:      tuning.BlameSuspectMachine,
		FaultyCertainty:       tuning.BlameFaultyMachine,
		ProvenMachineWeight:   tuning.BlameSoundMachine,
		UnprovenMachineWeight: tuning.BlameNewMachine,
		TroubledMachineWeight: tuning.BlameTroubledMachine,
		MistakenThreshold:     tuning.BlameFaultyJob,
		RetryDelay:            tuning.TaskErrorBackoff,
		RetryDelayMax:         tuning.TaskErrorBackoffMax,
		MistakenRetryDelayMax: tuning.FaultyJobBackoffMax,
	})
}

// taskFailed records that a task failed and acts on what that says about its machine and its job.
func (c *Core) taskFailed(e *jobEntry, a *attempt) {
	wasMistaken := c.taskHealth.Mistaken(a.job)
	c.returnFaulty(c.taskHealth.RecordFailure(c.now, a.job, a.machine.name))
	e.run.notBefore = max(e.run.notBefore, c.taskHealth.NotBefore(a.job))
	c.markDirty(a.machine)
	c.markJobDirty(e)
	if c.taskHealth.Mistaken(a.job) && !wasMistaken {
		machines, times := c.taskHealth.JobFailures(a.job)
		c.recordTaskEvent(trail.JobMistaken, a, fmt.Sprintf("failed %d times on %d machines, completed nowhere", times, machines))
		c.log(1, "job fails on every machine; retrying it rarely", "job", a.job, "machines", machines, "failures", times)
	}
}

// returnFaulty gives back machines that were found faulty.
func (c *Core) returnFaulty(names []string) {
	for _, name := range names {
		m := c.machines[name]
		if m == nil || m.returning {
			continue
		}
		_, failures := c.taskHealth.MachineVerdict(name)
		c.recordMachineEvent(trail.MachineFaulty, m, wire.TrailEvent{Count: failures, Why: "fails tasks of jobs that complete elsewhere"})
		c.log(1, "machine seems faulty; returning it", "machine", name, "failures", failures)
		m.returning = true
		c.markDirty(m)
	}
}

// countLongRunning counts a replica of a service that has run for tuning.ReplicaProvenAfter as a
// completed task: services never complete, and a faulty machine or a mistake in the job shows sooner.
func (c *Core) countLongRunning(a *attempt) {
	if a.countedSound || a.status != wire.TaskRunning || c.now-a.runningSince < tuning.ReplicaProvenAfter {
		return
	}
	if e := c.jobs[a.job]; e != nil && e.record.Shape == wire.ShapeService {
		a.countedSound = true
		trial := c.taskHealth.OnTrial(a.job)
		c.returnFaulty(c.taskHealth.RecordCompletion(a.job, a.machine.name))
		if trial {
			c.markJobDirty(e)
		}
	}
}

// avoids reports whether a job's tasks are not placed on a machine: they have failed there, or
// the machine is suspected to be faulty and they are urgent.
func (c *Core) avoids(e *jobEntry, m *machine) bool {
	if c.taskHealth.Avoids(e.record.ID, m.name) {
		return true
	}
	if c.taskHealth.Mistaken(e.record.ID) && !m.images[e.record.Image] && c.now < e.run.notBefore+tuning.FaultyJobImageWait {
		return true // a job that fails everywhere causes no fetch, unless no machine has its image any more
	}
	if e.priority >= urgentRank {
		verdict, _ := c.taskHealth.MachineVerdict(m.name)
		return verdict != health.Healthy
	}
	return false
}

// startableTasks returns how many of a job's tasks may be started now. A job that has failed on
// several machines and completed on none runs one task at a time.
func (c *Core) startableTasks(e *jobEntry) int {
	n := e.run.pendingTasks(&e.record)
	if e.record.Shape != wire.ShapeGang && c.taskHealth.OnTrial(e.record.ID) {
		n = min(n, max(0, 1-len(e.run.active)))
	}
	return n
}

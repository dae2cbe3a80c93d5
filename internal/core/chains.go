package core

import (
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/dependency"
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// dependencyState is what this controller knows of jobs that wait for others (package dependency).
type dependencyState struct {
	dependencies    *dependency.Graph
	waitingJobs     map[string]*jobEntry // waiting jobs, as stored under wire.PrefixWaiting
	recheckWaiting  bool                 // something changed that the outcome of a waiting job may depend on
	movingWaiting   bool                 // a write that moves waiting jobs is in progress
	readingOutcomes bool                 // a read of the outcomes of predecessors is in progress
	announcedChains ChainCounts          // the counts that were last reported as an effect
	oneJobPerWrite  bool                 // the last write that moved jobs met a conflict: move one job at a time
}

func newDependencyState() dependencyState {
	return dependencyState{
		dependencies: dependency.New(),
		waitingJobs:  map[string]*jobEntry{},
	}
}

// isWaiting reports whether a job waits for others, according to the mirror.
func (c *Core) isWaiting(id string) bool { return c.waitingJobs[id] != nil }

// isLive reports whether a job is known to be live: accepted, not waiting and not over.
func (c *Core) isLive(id string) bool { return c.jobs[id] != nil }

// putWaitingJob applies a new version of a waiting job.
func (c *Core) putWaitingJob(r wire.Job, ver uint64) {
	c.waitingJobs[r.ID] = &jobEntry{record: r, version: ver}
	c.dependencies.Put(r.ID, r.Predecessors, c.demandOf(&r))
	for _, p := range r.Predecessors {
		if f, ok := c.finalStates[p]; ok {
			c.dependencies.RecordEnd(p, f.Status == wire.JobDone, f.By)
		}
	}
	c.rankPredecessors(c.dependencies.Ancestors(r.ID))
	c.recheckWaiting, c.placementDue = true, true
}

// removeWaitingJob is called when a job no longer waits.
func (c *Core) removeWaitingJob(id string) {
	before := c.dependencies.Ancestors(id)
	delete(c.waitingJobs, id)
	c.dependencies.Remove(id)
	c.rankPredecessors(before)
	c.recheckWaiting, c.placementDue = true, true
}

// stageOf returns what a job's expected length depends on, and how many seconds the machines that it may
// use take to boot.
func (c *Core) stageOf(j *wire.Job) (s dependency.JobEstimate, boot float64) {
	rate, boot := supply.FetchAndBootBounds(c.machineTypes, j.Types)
	s = dependency.JobEstimate{
		Tasks:             j.Tasks,
		TaskSeconds:       c.runTimes.Typical(j.Class, j.EstimateS).Seconds(),
		LogSpread:         tuning.ChainRunTimeSpread,
		StartDelaySeconds: tuning.ChainStartDelay.Seconds(),
	}
	if rate > 0 {
		s.FetchSeconds = j.ImageGB / rate
	}
	return s, boot
}

// remainingSeconds returns in how many seconds a live job is expected to end, or +Inf unless all of its
// tasks run on machines of this holder.
func (c *Core) remainingSeconds(id string) float64 {
	e := c.jobs[id]
	if e == nil || e.run == nil || e.run.pendingTasks(&e.record) > 0 || e.run.inheritedBelow > 0 {
		return inf
	}
	var lastStart Time
	for _, a := range e.run.active {
		if a.status == "" || a.status == wire.TaskPulling {
			return inf
		}
		lastStart = max(lastStart, a.runningSince)
	}
	stage, _ := c.stageOf(&e.record)
	return stage.RemainingSeconds((c.now - lastStart).Seconds())
}

// startingSoon lists the waiting jobs of a shard that machines are requested for already: those that are
// expected to become ready within the boot time of a machine and would be late if the boot began only
// then. They are requested at a tier of normal work.
func (c *Core) startingSoon(shard int) (list []*wire.Job) {
	for _, id := range c.dependencies.Waiting() {
		job := &c.waitingJobs[id].record
		if c.shardOfTeam(job.Team) != shard {
			continue
		}
		if stage, boot := c.stageOf(job); c.objectives.RequestAhead(job.Class, boot, stage.FetchSeconds+stage.StartDelaySeconds, tuning.SlowBootFactor) && c.dependencies.StartDelay(id, c.remainingSeconds) <= boot {
			list = append(list, job)
		}
	}
	return list
}

// demandOf returns what a job requires of its predecessors.
func (c *Core) demandOf(j *wire.Job) dependency.Requirement {
	stage, _ := c.stageOf(j)
	return dependency.Requirement{
		Priority:        wire.PriorityRank(j.Priority),
		TierRank:        c.tierOrder.Rank(j),
		Due:             c.objectives.Due(objectiveWork(j)),
		DurationSeconds: dependency.ExpectedSeconds(stage),
	}
}

// rankJob sets a job's priority and tier: its own, or those inherited from a job that depends on it. The
// full priority and tier are inherited only once there is little slack. Until then the job ranks at most
// as normal work, which is ordered by due times and does not preempt other normal work.
func (c *Core) rankJob(e *jobEntry) {
	inherited := c.dependencies.Inherited(e.record.ID)
	e.priority, e.rank, e.inheritedDue = wire.PriorityRank(e.record.Priority), c.tierOrder.Rank(&e.record), inherited.Due
	if inherited.Priority > e.priority {
		if own := c.demandOf(&e.record); inherited.Slack(float64(c.wall.UnixMilli())/1000, own.DurationSeconds) > tuning.MinChainSlack.Seconds() {
			normal := e.record
			normal.Priority = wire.PriorityName(normalRank)
			inherited.Priority, inherited.TierRank = min(inherited.Priority, normalRank), min(inherited.TierRank, c.tierOrder.Rank(&normal))
		}
	}
	e.priority, e.rank = max(e.priority, inherited.Priority), max(e.rank, inherited.TierRank)
	if e.run == nil {
		return
	}
	for _, k := range sortedIntKeys(e.run.active) {
		if a := e.run.active[k]; a.sizeKnown && (a.belowUrgent != (e.priority < urgentRank) || a.idlePriority != (e.priority <= idleRank)) {
			c.removeAttempt(a)
			a.belowUrgent, a.idlePriority = e.priority < urgentRank, e.priority <= idleRank
			c.addAttempt(a)
		}
	}
}

// rankPredecessors ranks jobs whose dependents have changed.
func (c *Core) rankPredecessors(ids []string) {
	for _, id := range ids {
		if e := c.jobs[id]; e != nil {
			c.rankJob(e)
			c.markJobDirty(e)
		}
	}
}

// rankWaitingJobs evaluates all waiting jobs and their predecessors again after a change of the tier
// order or of the expected run times.
func (c *Core) rankWaitingJobs() {
	for _, id := range c.dependencies.Waiting() {
		r := &c.waitingJobs[id].record
		c.dependencies.Put(id, r.Predecessors, c.demandOf(r))
	}
	for _, id := range c.dependencies.Waiting() {
		c.rankPredecessors(c.dependencies.Ancestors(id))
	}
}

// recheckDependents has the dependents of a job evaluated again after it left the live keys.
func (c *Core) recheckDependents(id string) {
	if len(c.dependencies.Dependents(id)) > 0 {
		c.recheckWaiting, c.placementDue = true, true
	}
}

// processWaitingJobs moves the waiting jobs of held shards: jobs that are ready become live, and jobs that
// are cancelled end. A cancellation already follows from the stored end of another job, so it is written
// at low priority.
func (c *Core) processWaitingJobs() {
	if c.dueEvery("rankWaiting", tuning.ChainEstimateInterval) {
		c.rankWaitingJobs()
	}
	if c.announcedChains.Waiting != len(c.waitingJobs) {
		c.announcedChains.Waiting = len(c.waitingJobs)
		c.effects = append(c.effects, c.announcedChains)
	}
	if !c.recheckWaiting || c.movingWaiting || c.readingOutcomes || c.now < c.notBefore["chains"] {
		return
	}
	c.recheckWaiting = false
	var ready, cancelled []string
	var lookUp []string
	cancelledBy := map[string]string{}
	for _, id := range c.dependencies.Waiting() {
		if !c.holdsShard(c.shardOfTeam(c.waitingJobs[id].record.Team)) {
			continue
		}
		switch verdict := c.dependencies.Evaluate(id, c.isLive); verdict.Outcome {
		case dependency.Ready:
			ready = append(ready, id)
		case dependency.Cancelled:
			cancelled, cancelledBy[id] = append(cancelled, id), verdict.CancelledBy
		case dependency.Unknown:
			lookUp = append(lookUp, verdict.MissingEnds...)
		}
	}
	if len(ready) > 0 {
		c.moveWaitingJobs(ready, nil)
	} else if len(cancelled) > 0 {
		c.moveWaitingJobs(cancelled, cancelledBy)
	}
	if len(lookUp) > 0 {
		c.readingOutcomes = true
		slices.Sort(lookUp)
		c.readOutcomes(slices.Compact(lookUp), func(bool) {
			c.readingOutcomes, c.recheckWaiting = false, true
			c.mirrorChanged()
		})
	}
}

// moveWaitingJobs moves several waiting jobs to the live keys or, if cancelledBy names the jobs whose
// cancellation they follow, to their final keys. It does not matter which controller does so, because the ends that
// the decision rests on never change and the record of the waiting job is compared.
func (c *Core) moveWaitingJobs(ids []string, cancelledBy map[string]string) {
	b, finals, lane := c.newBatch(), map[string]wire.Final{}, LaneUser
	if cancelledBy != nil {
		lane = LaneDeferred
	}
	var keys []string
	for _, id := range ids {
		if b.full() || c.oneJobPerWrite && len(keys) > 0 {
			break
		}
		e := c.waitingJobs[id]
		keys = append(keys, waitingKey(id))
		b.conditions = append(b.conditions,
			wire.Condition{Key: waitingKey(id), Version: e.version},
			wire.Condition{Key: jobKey(id)},
			wire.Condition{Key: finalKey(id)})
		change := wire.Change{Put: finalKey(id)}
		if cancelledBy != nil {
			finals[id] = wire.Final{Status: wire.JobAborted, By: cancelledBy[id]}
			change.Value = finals[id]
		} else {
			rec := e.record
			rec.ReadyMS, rec.Number = c.wall.UnixMilli(), c.newestRevision
			change = wire.Change{Put: jobKey(id), Value: rec}
		}
		b.changes = append(b.changes, wire.Change{Delete: waitingKey(id)}, change)
	}
	c.movingWaiting = true
	c.commit(lane, b.conditions, b.changes, func(r StateReply) {
		c.movingWaiting, c.recheckWaiting, c.oneJobPerWrite = false, true, r.Status == 409
		for _, id := range sortedKeys(finals) {
			if r.Status == 200 {
				c.cacheFinal(id, finals[id], r.Txn.Revision)
			}
		}
		if r.Status == 200 {
			c.recordDependentsMoved(ids[:len(keys)], cancelledBy)
		}
		if r.Status != 200 {
			c.notBefore["chains"] = c.now + tuning.BackgroundRetryDelay/2
		}
		c.log(2, "waiting jobs moved", "jobs", len(keys), "cancelled", cancelledBy != nil, "status", r.Status)
		c.mirrorChanged()
	})
}

// readOutcomes reads the final records of jobs one after the other. It calls done with false if one of them
// could not be read.
func (c *Core) readOutcomes(ids []string, done func(ok bool)) {
	if len(ids) == 0 {
		done(true)
		return
	}
	id := ids[0]
	if final, known := c.finalStates[id]; known || c.isLive(id) {
		if known {
			c.dependencies.RecordEnd(id, final.Status == wire.JobDone, final.By)
		}
		c.readOutcomes(ids[1:], done)
		return
	}
	c.lookUpKeys(id, []string{finalKey(id)}, func(at jobLookup) {
		if at.final == nil {
			c.notBefore["chains"] = c.now + tuning.BackgroundRetryDelay
			done(false)
			return
		}
		c.readOutcomes(ids, done)
	})
}

// evaluateWaiting completes a lookup that found a job waiting. The mirror must be as recent as the lookup
// itself, so that a user who was told that a predecessor is cancelled gets the same answer for this job.
// If it is not (fresh is false), the lookup fails.
func (c *Core) evaluateWaiting(id string, at jobLookup, fresh bool, done func(jobLookup)) {
	if !fresh {
		done(jobLookup{})
		return
	}
	if !c.isWaiting(id) {
		c.lookUpJob(id, done) // it was moved meanwhile
		return
	}
	switch verdict := c.dependencies.Evaluate(id, c.isLive); verdict.Outcome {
	case dependency.Cancelled:
		done(jobLookup{final: &wire.Final{Status: wire.JobAborted, By: verdict.CancelledBy}, ok: true})
	case dependency.Unknown:
		c.readOutcomes(verdict.MissingEnds, func(ok bool) { c.evaluateWaiting(id, at, ok, done) })
	default:
		done(at)
	}
}

// acceptDependent accepts a job with predecessors, each of which must have been accepted before, by any
// controller.
func (c *Core) acceptDependent(req uint64, job wire.Job, known func(otherwise func())) {
	refuse := func(status int, why string) {
		known(func() { c.answer(req, status, wire.Problem{Error: why}) })
	}
	if !c.featureEnabled(rollout.Chains) {
		refuse(503, "awaits: not before all controllers understand it")
		return
	}
	if slices.Contains(job.Predecessors, job.ID) {
		refuse(422, "awaits: "+job.ID+" is the job itself")
		return
	}
	allDone, cancelledBy := true, ""
	var next func(remaining []string)
	next = func(remaining []string) {
		if len(remaining) == 0 {
			c.writeDependent(req, job, allDone, cancelledBy, known)
			return
		}
		id := remaining[0]
		judge := func(at jobLookup) {
			switch {
			case !at.ok:
				refuse(503, "awaits: "+id+" cannot be looked up now")
				return
			case at.job == nil && at.final == nil:
				refuse(422, "awaits: "+id+" was never accepted")
				return
			case at.final == nil && at.job.Shape == wire.ShapeService:
				refuse(422, "awaits: "+id+" is a service, which is never done")
				return
			case at.final == nil:
				allDone = false
			case at.final.Status != wire.JobDone && cancelledBy == "":
				if cancelledBy = at.final.By; cancelledBy == "" {
					cancelledBy = id
				}
			}
			next(remaining[1:])
		}
		// A job in the mirror was accepted, whatever happened to it since.
		if e := c.jobs[id]; e != nil {
			judge(jobLookup{job: &e.record, ok: true})
		} else if e := c.waitingJobs[id]; e != nil {
			judge(jobLookup{job: &e.record, ok: true})
		} else {
			c.lookUpJob(id, judge)
		}
	}
	next(job.Predecessors)
}

// writeDependent writes a job whose predecessors are known: as live if they are all done, as aborted if
// one was cancelled (cancelledBy names that job), and as waiting otherwise.
func (c *Core) writeDependent(req uint64, job wire.Job, allDone bool, cancelledBy string, known func(otherwise func())) {
	id := job.ID
	status := wire.JobStatus{ID: id, Status: wire.JobQueued}
	switch {
	case cancelledBy != "":
		f := wire.Final{Status: wire.JobAborted, By: cancelledBy}
		c.acceptJob(req, &job, wire.Change{Put: finalKey(id), Value: f}, finalStatus(id, f), known)
	case allDone:
		job.ReadyMS, job.Number = c.wall.UnixMilli(), c.newestRevision
		c.acceptJob(req, &job, wire.Change{Put: jobKey(id), Value: job}, status, known)
	default:
		c.acceptJob(req, &job, wire.Change{Put: waitingKey(id), Value: job}, status, known)
	}
}

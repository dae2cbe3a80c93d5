package core

import (
	"fmt"
	"slices"

	"github.com/barrowbridge/barrowbridge/internal/placement"
	"github.com/barrowbridge/barrowbridge/internal/ranges"
	"github.com/barrowbridge/barrowbridge/internal/rollout"
	"github.com/barrowbridge/barrowbridge/internal/supply"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// userState is the state that is needed to answer users.
type userState struct {
	finalStates       map[string]wire.Final // cache of final states by job
	finalOrder        []string              // jobs in finalStates, oldest entry first
	pendingReads      map[string][]uint64   // by job with a read in flight: requests that need another read after it
	pendingPolls      []Poll                // polls that wait for the next read of the changes
	pollReadsInFlight int                   // reads of the changes in flight
}

func newUserState() userState {
	return userState{finalStates: map[string]wire.Final{}, pendingReads: map[string][]uint64{}}
}

// cacheFinal remembers a job's final state, which never changes again, and the revision at which it was
// written. It has to be called before any user is answered that the job is over, because the
// statements to peers rely on it.
func (c *Core) cacheFinal(id string, final wire.Final, revision uint64) {
	if _, ok := c.finalStates[id]; ok {
		return
	}
	c.confirmation.JobOver(jobKey(id), revision)
	c.finalStates[id] = final
	c.dependencies.RecordEnd(id, final.Status == wire.JobDone, final.By)
	c.finalOrder = append(c.finalOrder, id)
	if len(c.finalOrder) > tuning.FinalCacheJobs {
		delete(c.finalStates, c.finalOrder[0])
		c.finalOrder = c.finalOrder[1:]
	}
}

// unavailable returns the body of an answer with status 503.
func unavailable(reason string) wire.Problem { return wire.Problem{Error: reason} }

// jobLookup is the result of looking up a job in the state service: its record, its final state, or
// neither if the job was never accepted.
type jobLookup struct {
	job     *wire.Job   // the record of an unfinished job
	key     string      // the key of that record
	version uint64      // the version of that record
	final   *wire.Final // the state of a finished job
	ok      bool        // false if the state service could not be read
}

// lookUpJob reads a job from the state service. Jobs move from the key of jobs that wait for others to
// the live key and on to the final key, and never back, so the keys are read in this order. A job that
// is cancelled with one of its predecessors counts as finished, whichever record of it is stored.
func (c *Core) lookUpJob(id string, done func(jobLookup)) {
	if final, ok := c.finalStates[id]; ok {
		done(jobLookup{final: &final, ok: true})
		return
	}
	keys := []string{jobKey(id), finalKey(id)}
	if c.jobs[id] == nil && (!c.loaded || c.featureEnabled(rollout.Chains) || len(c.waitingJobs) > 0) {
		keys = append([]string{waitingKey(id)}, keys...)
	}
	c.lookUpKeys(id, keys, done)
}

// lookUpKeys reads the keys one after the other until one is present. The last key is the final key.
func (c *Core) lookUpKeys(id string, keys []string, done func(jobLookup)) {
	c.callState(StateCall{Op: OpGet, Key: keys[0]}, func(reply StateReply) {
		switch {
		case reply.Status == 404 && len(keys) > 1:
			c.lookUpKeys(id, keys[1:], done)
		case reply.Status == 404:
			done(jobLookup{ok: true})
		case reply.Status != 200:
			done(jobLookup{})
		case len(keys) == 1:
			var final wire.Final
			if err := wire.Unmarshal(reply.Item.Value, &final); err != nil {
				done(jobLookup{})
				return
			}
			c.cacheFinal(id, final, reply.Item.Version)
			c.applyDelete(jobKey(id), reply.Item.Version) // a final state never changes, so nothing of the job starts any more
			done(jobLookup{final: &final, ok: true})
		default:
			job := &wire.Job{}
			if err := wire.Unmarshal(reply.Item.Value, job); err != nil {
				done(jobLookup{})
				return
			}
			result := jobLookup{job: job, key: keys[0], version: reply.Item.Version, ok: true}
			if keys[0] != waitingKey(id) {
				done(result)
				return
			}
			c.refreshMirror(func(ok bool) { c.evaluateWaiting(id, result, ok, done) })
		}
	})
}

// jobStatus returns the status of an unfinished job.
func (c *Core) jobStatus(job *wire.Job) wire.JobStatus {
	done, running := ranges.Count(job.Done), 0
	if entry := c.jobs[job.ID]; entry != nil && entry.run != nil {
		running, done = entry.run.taskCounts()
	} else if counts, ok := c.peerJobCounts[job.ID]; ok {
		running, done = counts.Running, max(done, counts.Done) // as last sent by its holder
	}
	done = max(0, min(done, job.Tasks-1)) // all tasks count as done only once the final state is written
	status := wire.JobStatus{ID: job.ID, Status: wire.JobQueued, Done: &done, Running: &running}
	if running > 0 {
		status.Status = wire.JobRunning
	}
	return status
}

// finalStatus returns the status of a finished job.
func finalStatus(id string, final wire.Final) wire.JobStatus {
	zero := 0
	return wire.JobStatus{ID: id, Status: final.Status, Done: &final.Done, Running: &zero}
}

// onPoll answers a user's request for the status of a job.
func (c *Core) onPoll(poll Poll) {
	if !wire.ValidJobID(poll.ID) {
		c.answer(poll.Req, 404, wire.Problem{Error: "no such job"})
		return
	}
	if final, ok := c.finalStates[poll.ID]; ok {
		c.answer(poll.Req, 200, finalStatus(poll.ID, final))
		return
	}
	if c.stateUnreachable() {
		c.answer(poll.Req, 503, unavailable("state service not reached"))
		return
	}
	if !c.loaded || c.loading {
		c.readJobForPoll(poll)
		return
	}
	c.pendingPolls = append(c.pendingPolls, poll)
	c.answerPolls()
}

// readJobForPoll answers a poll by a read of the job. One read answers all polls for the job that
// arrived before it was sent.
func (c *Core) readJobForPoll(poll Poll) {
	if requests, reading := c.pendingReads[poll.ID]; reading {
		c.pendingReads[poll.ID] = append(requests, poll.Req)
		return
	}
	c.pendingReads[poll.ID] = nil
	c.readJobForPolls(poll.ID, []uint64{poll.Req})
}

// answerPolls answers all pending polls with one call, whatever the number of jobs: it reads the changes
// that the mirror does not contain yet. Once they are applied, the mirror contains all that was written
// before the call was sent, so no answer is older than one that any user has received before. With a
// read for each poll, polls were most of the calls of a large fleet to the state service, and used up
// the call limit that renewals of state leases need.
func (c *Core) answerPolls() {
	if len(c.pendingPolls) == 0 || c.pollReadsInFlight > 0 && c.now < c.notBefore["ask again"] || !c.dueEvery("ask", tuning.PollReadInterval) {
		return
	}
	batch := c.pendingPolls
	c.pendingPolls, c.pollReadsInFlight, c.notBefore["ask again"] = nil, c.pollReadsInFlight+1, c.now+tuning.PollReadOverlapDelay
	c.callState(StateCall{Op: OpWatch, Key: wire.LivePrefix, Revision: c.mirrorRevision}, func(reply StateReply) {
		c.pollReadsInFlight--
		if reply.Status == 200 {
			c.applyEvents(&reply.Events)
		}
		for _, poll := range batch {
			final, known := c.finalStates[poll.ID]
			entry := c.jobs[poll.ID]
			switch {
			case known:
				c.answer(poll.Req, 200, finalStatus(poll.ID, final))
			case reply.Status == 200 && entry == nil && !c.loading && c.isWaiting(poll.ID):
				c.evaluateWaiting(poll.ID, jobLookup{job: &wire.Job{ID: poll.ID, Tasks: 1}, ok: true}, true, func(result jobLookup) {
					c.answerLookup(poll.Req, poll.ID, result)
				})
			case reply.Status == 410 || reply.Status == 200 && (entry == nil || c.loading):
				c.readJobForPoll(poll) // finished, never accepted, or the mirror is being reloaded
			case reply.Status == 200:
				c.answer(poll.Req, 200, c.jobStatus(&entry.record))
			default:
				c.answer(poll.Req, 503, unavailable("state not readable"))
			}
		}
		if reply.Status == 200 {
			c.mirrorChanged()
		}
		c.answerPolls()
	})
}

// readJobForPolls looks up a job and answers the requests with the result.
func (c *Core) readJobForPolls(id string, requests []uint64) {
	c.lookUpJob(id, func(result jobLookup) {
		for _, request := range requests {
			c.answerLookup(request, id, result)
		}
		// Requests that arrived while the read was in flight need a new one.
		if next := c.pendingReads[id]; len(next) > 0 {
			c.pendingReads[id] = nil
			c.readJobForPolls(id, next)
		} else {
			delete(c.pendingReads, id)
		}
	})
}

// answerLookup answers a request for a job's status with the result of a lookup.
func (c *Core) answerLookup(request uint64, id string, result jobLookup) {
	switch {
	case !result.ok:
		c.answer(request, 503, unavailable("state not readable"))
	case result.final != nil:
		c.answer(request, 200, finalStatus(id, *result.final))
	case result.job != nil:
		c.answer(request, 200, c.jobStatus(result.job))
	default:
		c.answer(request, 404, wire.Problem{Error: "no such job"})
	}
}

// onReady answers whether this controller is ready to serve users.
func (c *Core) onReady(ready Ready) {
	if c.loaded && len(c.machineTypes) > 0 && c.authorized() && !c.stateUnreachable() {
		c.answer(ready.Req, 200, map[string]string{"status": "ready"})
		return
	}
	c.answer(ready.Req, 503, unavailable("not ready"))
}

// onSubmit answers a user's submission of a job. A job that is already known is answered with its status,
// whatever the rest of the submission says.
func (c *Core) onSubmit(submit Submit) {
	if submit.Spec.ID == nil || !wire.ValidJobID(*submit.Spec.ID) {
		c.answer(submit.Req, 400, wire.Problem{Error: "name_id: must look like job-000412"})
		return
	}
	id := *submit.Spec.ID
	if final, ok := c.finalStates[id]; ok {
		c.answer(submit.Req, 200, finalStatus(id, final))
		return
	}
	if c.stateUnreachable() {
		c.answer(submit.Req, 503, unavailable("state service not reached"))
		return
	}
	unlessKnown := func(ifUnknown func()) {
		c.lookUpJob(id, func(result jobLookup) {
			if result.ok && result.job == nil && result.final == nil {
				ifUnknown()
				return
			}
			c.answerLookup(submit.Req, id, result)
		})
	}
	job, err := submit.Spec.Validate()
	if err != nil {
		// For a known ID, the status takes precedence over errors in the repeated body.
		unlessKnown(func() { c.answer(submit.Req, 400, wire.Problem{Error: err.Error()}) })
		return
	}
	if !c.loaded || len(c.machineTypes) == 0 { // an incomplete set of machine types would prove nothing either
		unlessKnown(func() { c.answer(submit.Req, 503, unavailable("machine types not known yet")) })
		return
	}
	if reason := c.impossibleReason(&job); reason != "" {
		unlessKnown(func() { c.answer(submit.Req, 422, wire.Problem{Error: reason}) })
		return
	}
	if c.now-c.presence.LastRenewed() > 2*tuning.StateLeaseTTL {
		c.answer(submit.Req, 503, unavailable("state service not reached"))
		return
	}
	job.AcceptedMS, job.Number = c.wall.UnixMilli(), c.newestRevision
	// The record needs space for the job's progress.
	if encoded, err := wire.Marshal(job); err != nil || !wire.FitsIn(encoded, c.params.MaxValueBytes-min(1024, c.params.MaxValueBytes/2)) {
		unlessKnown(func() { c.answer(submit.Req, 422, wire.Problem{Error: "job description too large to keep"}) })
		return
	}
	if len(job.Predecessors) > 0 {
		c.acceptDependent(submit.Req, job, unlessKnown)
		return
	}
	c.acceptJob(submit.Req, &job, wire.Change{Put: jobKey(id), Value: job}, wire.JobStatus{ID: id, Status: wire.JobQueued}, unlessKnown)
}

// acceptJob writes a job on the condition that it is not stored under any key yet, and answers its user.
// unlessKnown answers with the status of a known job, and calls its argument otherwise.
func (c *Core) acceptJob(request uint64, job *wire.Job, change wire.Change, status wire.JobStatus, unlessKnown func(ifUnknown func())) {
	conditions := []wire.Condition{{Key: jobKey(job.ID)}, {Key: finalKey(job.ID)}, {Key: waitingKey(job.ID)}}
	c.commit(LaneUser, conditions, []wire.Change{change}, func(reply StateReply) {
		switch reply.Status {
		case 200:
			c.log(1, "job accepted", "job", job.ID, "team", job.Team, "class", job.Class, "tasks", job.Tasks)
			c.answer(request, 201, status)
			c.mirrorChanged()
		case 409, 0:
			// The job is known already or the write got no answer: the stored record decides.
			unlessKnown(func() { c.answer(request, 503, unavailable("not accepted, try again")) })
		case 400:
			unlessKnown(func() { c.answer(request, 422, wire.RecordRefused(reply.Err)) })
		default:
			c.answer(request, 503, unavailable("state service not reached"))
		}
	})
}

// impossibleReason returns why a job can never run, or "".
func (c *Core) impossibleReason(job *wire.Job) string {
	team, ok := c.params.Teams[job.Team]
	if !ok {
		return fmt.Sprintf("owner: team %q is not known", job.Team)
	}
	tasks := 1.0
	if job.Shape != wire.ShapeBatch {
		tasks = float64(job.Tasks)
	}
	if team.exceededBy(placement.Size{CPUs: job.CPUs * tasks, GPUs: job.GPUs * tasks}) {
		return fmt.Sprintf("the job needs more than team %q may use", job.Team)
	}
	for _, name := range sortedKeys(c.machineTypes) {
		machineType := c.machineTypes[name]
		capacity, _ := c.machineSize(name)
		if supply.AllowsType(job.Types, name) && placement.Fits(capacity, jobSize(job)) &&
			(job.Zone == "" || slices.Contains(machineType.Zones, job.Zone)) {
			return ""
		}
	}
	return "no allowed machine type can hold a task"
}

// onAbort answers a user's request to abort a job.
func (c *Core) onAbort(abort Abort) {
	if !wire.ValidJobID(abort.ID) {
		c.answer(abort.Req, 404, wire.Problem{Error: "no such job"})
		return
	}
	if c.stateUnreachable() {
		c.answer(abort.Req, 503, unavailable("state service not reached"))
		return
	}
	c.abortJob(abort, 5)
}

// abortJob moves an unfinished job to its final state. After a conflict, such as with progress written by
// the holder, it tries again with the current record.
func (c *Core) abortJob(abort Abort, attempts int) {
	c.lookUpJob(abort.ID, func(result jobLookup) {
		if !result.ok || result.job == nil || attempts == 0 {
			if result.ok && result.job != nil {
				result.ok = false
			}
			c.answerLookup(abort.Req, abort.ID, result)
			return
		}
		final := wire.Final{Status: wire.JobAborted, Done: ranges.Count(result.job.Done)}
		c.finishJob(LaneUser, abort.ID, result.key, result.version, final, func(status int) {
			switch status {
			case 200:
				c.log(1, "job aborted", "job", abort.ID)
				c.answer(abort.Req, 200, finalStatus(abort.ID, final))
				c.mirrorChanged()
			case 409, 0:
				c.abortJob(abort, attempts-1)
			default:
				c.answer(abort.Req, 503, unavailable("state service not reached"))
			}
		})
	})
}

// finishJob replaces a job's record, which has to have the given version under the key, by its final state.
// done is called with the status of the write.
func (c *Core) finishJob(lane int, id, key string, version uint64, final wire.Final, done func(status int)) {
	c.commit(lane, []wire.Condition{{Key: key, Version: version}, {Key: finalKey(id)}},
		[]wire.Change{{Delete: key}, {Put: finalKey(id), Value: final}}, func(reply StateReply) {
			if reply.Status == 200 {
				c.cacheFinal(id, final, reply.Txn.Revision)
			}
			done(reply.Status)
		})
}

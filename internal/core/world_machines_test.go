package core

import (
	"time"

	"github.com/barrowbridge/barrowbridge/internal/standin/cloud"
	"github.com/barrowbridge/barrowbridge/internal/standin/worker"
	"github.com/barrowbridge/barrowbridge/wire"
)

// addMachine adds a machine of the operator's own, which is not rented, and returns its name.
func (w *world) addMachine(zone string, spot bool, boot time.Duration) string {
	h := w.cloud.Stand(w.now, cloud.Place{Type: "std", Zone: zone, Spot: spot}, boot)
	w.newHost(h.MachineInfo)
	return h.Name
}

func (w *world) newHost(i wire.MachineInfo) {
	if w.machines[i.Name] == nil {
		w.machines[i.Name] = &host{Worker: w.newWorker(i), info: i}
		w.cloud.SetAddr(i.Name, i.Name+":1")
		w.order = append(w.order, i.Name)
	}
}

// vanish removes a machine without notice.
func (w *world) vanish(name string) {
	w.cloud.Take(w.now, name, false)
	w.cloudEvents(w.cloud.Advance(w.now))
}

func (w *world) newWorker(i wire.MachineInfo) *worker.Worker {
	i.Addr = i.Name + ":1"
	return worker.New(w.now, i, worker.Params{Report: w.reportS, Lease: w.lease, Nodes: sortedKeys(w.nodes),
		Type: wire.MachineType{CPUs: 4, MemoryGB: 16, FetchGBps: 1}}, w.work, w.rng)
}

// drive carries out a worker's effects and schedules its next event.
func (w *world) drive(m *host, list []any) {
	w.effects(m, list)
	at, ok := m.Next()
	if !ok || m.gone || m.wake > w.now && m.wake <= at {
		return
	}
	at = max(at, w.now+time.Millisecond)
	m.wake = at
	w.at(at-w.now, func() {
		if m.wake == w.now && !m.gone {
			w.drive(m, m.Advance(w.now))
		}
	})
}

func (w *world) effects(m *host, list []any) {
	for _, e := range list {
		switch v := e.(type) {
		case worker.Started:
			w.check.TaskStarted(w.now, m.info.Name, v.Task, v.Attempt)
			w.noteStart(v.Task)
		case worker.Ordered:
			w.onOrdered(m, v)
		case worker.Left:
			w.check.TaskLeft(w.now, m.info.Name, v.Task, v.Cause)
			w.noteEnd(v.Task, v.Cause)
		case worker.Send:
			w.post(m, v)
		}
	}
}

// post delivers a report to its node and the answer to the worker, if they can reach each
// other.
func (w *world) post(m *host, s worker.Send) {
	w.copyOf(s)
	w.checkReport(&s.Report)
	back := func(o worker.Outcome) func() {
		return func() {
			if !m.gone && !w.deaf[m.info.Name] {
				w.drive(m, m.Answered(w.now, s.ID, o))
			}
		}
	}
	if w.nodes[s.Node].core == nil || w.speechless[m.info.Name] {
		w.at(w.lag(), back(worker.Outcome{})) // connection refused
		return
	}
	if w.outOfReach(s.Node, m.info.Name) || w.oneWay[s.Node] == "reports" {
		return
	}
	w.at(w.lag(), func() {
		w.ask(s.Node, func(id uint64) any { return WorkerReport{Req: id, Report: s.Report} }, func(a Answer) {
			o := worker.Outcome{Status: a.Status}
			switch b := a.Body.(type) {
			case wire.ReportReply:
				o.Reply = b
				w.noteReportedEnds(s.Report)
				w.countLostStarts(m, b)
			case wire.Redirect:
				o.Holder = b.Holder
			}
			w.at(w.lag(), back(o))
		})
	})
}

// tasks returns the attempts that a worker reports, including ended ones; none if the machine
// is gone.
func (m *host) tasks() []wire.TaskReport {
	if m.gone {
		return nil
	}
	return m.Attempts()
}

// session returns the worker's session, as in its reports.
func (w *world) session(m *host) uint64 { r, _ := m.Inspect(w.now); return r.Session }

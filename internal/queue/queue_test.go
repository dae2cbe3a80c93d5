package queue

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/barrowbridge/barrowbridge/internal/placement"
)

var guarantees = map[string]placement.Size{"red": {CPUs: 10}, "blue": {CPUs: 3}}

func drawJob(t *rapid.T) Job {
	n := rapid.IntRange(0, 15).Draw(t, "job")
	j := Job{ID: fmt.Sprintf("job-%06d", n), Team: []string{"red", "blue"}[n%2], AcceptedMS: int64(n / 3),
		Rank: n % 2, ZoneBound: n%5 == 0, Service: n%7 == 0, Pressed: n%6 == 1,
		Due: math.Inf(1), EstimateS: float64(rapid.IntRange(1, 9).Draw(t, "estimate")),
		TaskSize:   placement.Size{CPUs: float64(1 + n%3), MemGB: float64(1 + n%4)},
		Unfinished: rapid.IntRange(1, 6).Draw(t, "unfinished")}
	j.Pending = rapid.IntRange(0, j.Unfinished).Draw(t, "pending")
	if n%4 > 0 {
		j.Due = float64(rapid.IntRange(1, 40).Draw(t, "due"))
	}
	return j
}

// However jobs are put, changed and removed: they are served in the order that a full sort gives,
// the jobs within a guarantee are those that a recount finds, and a walk visits exactly the jobs
// whose tasks fit into the given capacity.
func TestOrderMatchesFullSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, all := New[string](guarantees), map[string]Job{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				id := fmt.Sprintf("job-%06d", rapid.IntRange(0, 15).Draw(t, "job"))
				q.Remove(id)
				delete(all, id)
			case 1:
				q.UpdateDeadlines(float64(rapid.IntRange(0, 20).Draw(t, "now")), 1e9,
					func(team string) float64 { return 3 * guarantees[team].CPUs })
			default:
				j := drawJob(t)
				q.Put(j.ID, j)
				all[j.ID] = j
			}
		}
		var entries []*Entry[string]
		for id, j := range all {
			p := q.Get(id)
			if p == nil || p.Job != j {
				t.Fatalf("%s: got %+v, put %+v", id, p, j)
			}
			entries = append(entries, p)
		}
		sort.Slice(entries, func(i, j int) bool { return older(entries[i], entries[j]) })
		sum := map[string]float64{}
		for _, p := range entries {
			sum[p.Job.Team] += p.Job.demand().CPUs
			if want := sum[p.Job.Team] <= guarantees[p.Job.Team].CPUs; p.WithinGuarantee != want {
				t.Fatalf("%s within its guarantee: %v, recounted %v", p.Job.ID, p.WithinGuarantee, want)
			}
		}
		free := placement.Size{
			CPUs:  float64(rapid.IntRange(1, 3).Draw(t, "free")),
			MemGB: float64(rapid.IntRange(1, 4).Draw(t, "mem")),
		}
		sort.Slice(entries, func(i, j int) bool { return servedBefore(entries[i], entries[j]) })
		var want, got []string
		waiting := 0
		for _, p := range entries {
			if p.Job.Pending > 0 {
				waiting++
				if placement.Fits(free, p.Job.TaskSize) {
					want = append(want, p.Job.ID)
				}
			}
		}
		q.Walk(func(string) placement.Size { return free }, func(p *Entry[string]) bool {
			got = append(got, p.Handle)
			return true
		})
		if strings.Join(got, " ") != strings.Join(want, " ") || q.Len() != waiting {
			t.Fatalf("served %v of %d, a full sort gives %v of %d", got, q.Len(), want, waiting)
		}
	})
}

// A job that cannot be on time does not make the jobs after it late.
func TestLateJobDoesNotDelayOthers(t *testing.T) {
	q := New[int](guarantees)
	for i, work := range []int{1, 50, 1, 1} {
		q.Put(i, Job{
			ID:         fmt.Sprint(i),
			Team:       "red",
			AcceptedMS: int64(i),
			Due:        float64(10 + i),
			EstimateS:  1,
			TaskSize:   placement.Size{CPUs: 1},
			Unfinished: work,
			Pending:    work,
		})
	}
	q.UpdateDeadlines(0, 1e9, func(string) float64 { return 2 })
	var got []int
	q.Walk(func(string) placement.Size { return placement.Size{CPUs: 4} }, func(p *Entry[int]) bool {
		got = append(got, p.Handle)
		return true
	})
	if fmt.Sprint(got) != "[0 2 3 1]" {
		t.Errorf("served %v, want the late job last", got)
	}
	// It goes ahead for its first task once it has waited too long, but not for the others.
	q.UpdateDeadlines(200, 199.9985, func(string) float64 { return 2 })
	order := func() (got []int) {
		q.Walk(func(string) placement.Size { return placement.Size{CPUs: 4} }, func(p *Entry[int]) bool {
			got = append(got, p.Handle)
			return true
		})
		return got
	}
	if got := order(); got[0] != 0 || got[1] != 1 {
		t.Errorf("two jobs have waited too long, served %v", got)
	}
	j := q.Get("1").Job
	j.Started = true
	q.Put(1, j)
	if got := order(); got[0] != 0 || got[3] != 1 {
		t.Errorf("the second job has started, served %v", got)
	}
}

// The cost of a change and of a walk that finds little must not grow with the queue.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		q := New[int](map[string]placement.Size{"red": {CPUs: float64(n)}})
		job := func(i, rest int) Job {
			return Job{
				ID:         fmt.Sprintf("job-%06d", i),
				Team:       "red",
				AcceptedMS: int64(i),
				Due:        float64(i),
				EstimateS:  20,
				TaskSize:   placement.Size{CPUs: 2 + float64(i%8)/8, MemGB: 4},
				Unfinished: rest,
				Pending:    rest,
			}
		}
		for i := range n {
			q.Put(i, job(i, 40))
		}
		b.Run(fmt.Sprintf("put-%d", n), func(b *testing.B) {
			for i := range b.N {
				q.Put(i%n, job(i%n, 30+i%10))
			}
		})
		b.Run(fmt.Sprintf("walk-%d", n), func(b *testing.B) {
			for range b.N {
				q.Walk(func(string) placement.Size { return placement.Size{CPUs: 1.9, MemGB: 16} },
					func(*Entry[int]) bool { return true })
			}
		})
	}
}

package placement

import "testing"

// The expected values are worked out by hand from the paper's formula beta = min(floor((C-c)/c),
// floor((M-m)/m)).
func TestBeta(t *testing.T) {
	for _, test := range []struct {
		name      string
		free, ask Size
		want      int
	}{
		{"cpu binds: floor(3/1)=3, floor(13/3)=4", Size{CPUs: 4, MemGB: 16}, Size{CPUs: 1, MemGB: 3}, 3},
		{"memory binds: floor(6/2)=3, floor(4/6)=0", Size{CPUs: 8, MemGB: 10}, Size{CPUs: 2, MemGB: 6}, 0},
		{"an exact fit leaves no copies", Size{CPUs: 4, MemGB: 11}, Size{CPUs: 4, MemGB: 11}, 0},
		{"does not fit", Size{CPUs: 1, MemGB: 16}, Size{CPUs: 2, MemGB: 1}, -1},
		{"GPUs count for tasks that ask for them: floor(6/2)=3", Size{CPUs: 96, GPUs: 8, MemGB: 768}, Size{CPUs: 8, GPUs: 2, MemGB: 64}, 3},
		{"GPUs do not bind other tasks: floor(88/8)=11, floor(704/64)=11", Size{CPUs: 96, MemGB: 768}, Size{CPUs: 8, MemGB: 64}, 11},
		{"rounding errors of decimals lose no copy: floor(0.2/0.1)=2", Size{CPUs: 0.1 + 0.2, MemGB: 9}, Size{CPUs: 0.1, MemGB: 1}, 2},
	} {
		if got := Beta(test.free, test.ask); got != test.want {
			t.Errorf("%s: beta %d, want %d", test.name, got, test.want)
		}
	}
}

func TestPick(t *testing.T) {
	size := Size{CPUs: 1, MemGB: 3}
	free := func(cpus float64) Candidate { return Candidate{Free: Size{CPUs: cpus, MemGB: 16}} }
	at := func(cpus float64, load, better int) Candidate {
		return Candidate{Free: Size{CPUs: cpus, MemGB: 16}, ServiceTasks: load, Preference: better}
	}
	for _, test := range []struct {
		name   string
		cs     []Candidate
		anchor bool
		want   int
	}{
		{"the anchor takes the largest beta", []Candidate{free(2), free(4), free(3)}, true, 1},
		{"others take the first smallest", []Candidate{free(3), free(2), free(2)}, false, 1},
		{"full machines are skipped", []Candidate{free(0.5), free(4)}, false, 1},
		{"nothing fits", []Candidate{free(0), free(0.9)}, true, -1},
		{"a service prefers the zone with fewer of its tasks", []Candidate{at(1, 1, 0), at(4, 0, 0), at(2, 0, 0)}, false, 2},
		{"having the image only breaks a tie", []Candidate{at(2, 0, 0), at(2, 0, 1), at(1, 0, 0)}, false, 2},
		{"an anchor prefers machines in use", []Candidate{{Free: Size{CPUs: 4, MemGB: 16}, EmptyRental: true}, free(2), free(3)}, true, 2},
		{"an anchor takes an empty rented machine if no other fits", []Candidate{{Free: Size{CPUs: 4, MemGB: 16}, EmptyRental: true}, free(0)}, true, 0},
		{"an anchor prefers machines that have its image", []Candidate{at(4, 0, 0), at(2, 0, 1), at(3, 0, 1)}, true, 2},
		{"having the image breaks a tie", []Candidate{at(2, 0, 0), at(2, 0, 1)}, false, 1},
	} {
		if got := Pick(test.cs, size, test.anchor); got != test.want {
			t.Errorf("%s: picked %d, want %d", test.name, got, test.want)
		}
	}
}

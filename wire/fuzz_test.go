package wire

import (
	"reflect"
	"testing"
)

// messages returns one of each type into which untrusted bytes are decoded.
func messages() []any {
	return []any{&JobSpec{}, &Report{}, &ReportReply{}, &Redirect{}, &Orders{}, &JobStatus{}, &Problem{}, &Item{}, &ItemList{}, &TxnReply{},
		&LeaseReply{}, &LeaseRequest{}, &Events{}, &MachineTypes{}, &RentRequest{}, &MachineNames{}, &MachineList{}, &SettingsPatch{}, &Cordon{},
		&Job{}, &Final{}, &Node{}, &Leader{}, &Shard{}, &Block{}, &Cache{}, &Demand{}, &Trail{}, &TrailRecord{}, &MachineDetail{}}
}

// A message that can be decoded can be encoded and decoded again. Other input results in an error and
// never in a panic. A validated job has plausible numbers.
func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		b, err := Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte{0xa1, 0x65, 'h', 'o', 's', 't', 's', 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xa1, 0x64, 'c', 'p', 'u', 's', 0xf9, 0x7e, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, m := range messages() {
			if Unmarshal(b, m) != nil {
				continue
			}
			again, err := Marshal(m)
			if err != nil {
				t.Fatalf("%T was decoded and cannot be encoded: %v", m, err)
			}
			back := reflect.New(reflect.TypeOf(m).Elem()).Interface()
			if err := Unmarshal(again, back); err != nil {
				t.Fatalf("%T was encoded and cannot be decoded: %v", m, err)
			}
			if s, ok := m.(*JobSpec); ok {
				if j, err := s.Validate(); err == nil && !(j.CPUs >= 0 && j.Tasks >= 1 && j.Tasks <= MaxTasks && ValidJobID(j.ID)) {
					t.Fatalf("validated as %+v", j)
				}
			}
		}
		if n, err := JSONSize(b); err == nil && FitsIn(b, n-1) && len(b)*jsonGrowth > n-1 {
			t.Fatalf("%d bytes in JSON form fit in %d", n, n-1)
		}
	})
}

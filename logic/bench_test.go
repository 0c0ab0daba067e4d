package logic

import (
	"fmt"
	"testing"
)

// BenchmarkStep is one step of a sender of a large fleet: 60 endpoints of ten destinations, all limits used up and a
// full hold that waits for them, which is when a step looks at the most. Every tenth step an answer comes.
func BenchmarkStep(b *testing.B) {
	for _, x := range []struct{ endpoints, hold int }{{15, 17}, {60, 17}, {15, 68}, {60, 68}} {
		b.Run(fmt.Sprintf("endpoints=%d/hold=%d", x.endpoints, x.hold), func(b *testing.B) {
			set := base()
			set.Senders, set.Weights, set.ReportLeft, set.ReportLimit = 80, WeightsNominal, 0, 1
			set.MaxOpen, set.Slots, set.OnRequest = x.hold, 6, true
			s, err := New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			ev := Endpoints{Form: ListFull}
			for i := range x.endpoints {
				ev.Entries = append(ev.Entries, Entry{Endpoint: EndpointID(i + 1), Dest: int64(i % 10), Nominal: 30})
			}
			s.Step(0, []Event{ev})
			now, ids, due := Micros(0), 0, []CallOut(nil)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 5000
				evs := []Event{Due{}}
				if i%10 == 0 && len(due) > 0 {
					c := due[0]
					due = due[1:]
					evs = append(evs, Reply{ID: c.ID, Endpoint: c.Endpoint, Outcome: Completed, NoMore: true,
						Took: 100_000, Load: []float64{0, 30}})
				}
				for open := len(s.held); open < x.hold; open++ {
					ids++
					evs = append(evs, Call{ID: fmt.Sprint(ids), Left: 12 * Second, Dest: int64(ids % 10), Tenant: -1, Class: ids % 2})
				}
				due = append(due, only[CallOut](s.Step(now, evs))...)
			}
		})
	}
}

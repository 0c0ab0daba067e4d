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
			set := baseSettings()
			set.Senders, set.Weights, set.LimitLeftIndex, set.LimitIndex = 80, WeightsNominal, 0, 1
			set.MaxOpen, set.Slots, set.ListOnRequest = x.hold, 6, true
			s, err := New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			ev := ListUpdate{Form: ListFull}
			for i := range x.endpoints {
				ev.Entries = append(ev.Entries, Entry{Endpoint: EndpointID(i + 1), Destination: int64(i % 10), Nominal: 30})
			}
			s.Step(0, []Event{ev})
			now, ids, due := Micros(0), 0, []CallOut(nil)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 5000
				evs := []Event{TimerExpired{}}
				if i%10 == 0 && len(due) > 0 {
					c := due[0]
					due = due[1:]
					evs = append(evs, AttemptResult{ID: c.ID, Endpoint: c.Endpoint, Outcome: Completed, MessageEnded: true,
						Duration: 100_000, Load: []float64{0, 30}})
				}
				for open := len(s.openMessages); open < x.hold; open++ {
					ids++
					evs = append(evs, NewMessage{ID: fmt.Sprint(ids), TimeLeft: 12 * Second, Destination: int64(ids % 10), Tenant: -1, Class: ids % 2})
				}
				due = append(due, actionsOf[CallOut](s.Step(now, evs))...)
			}
		})
	}
}

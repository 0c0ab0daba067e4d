package logic

import (
	"fmt"
	"testing"
)

// BenchmarkStep measures one step of a sender of a large fleet: 15 or 60 endpoints of ten destinations, all limits used
// up and a full queue of open messages that wait for them, which is when a step examines the most. Every tenth step has
// a result.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ endpoints, maxOpen int }{{15, 17}, {60, 17}, {15, 68}, {60, 68}} {
		b.Run(fmt.Sprintf("endpoints=%d/hold=%d", size.endpoints, size.maxOpen), func(b *testing.B) {
			settings := baseSettings()
			settings.Senders, settings.Weights, settings.LimitLeftIndex, settings.LimitIndex = 80, WeightsNominal, 0, 1
			settings.MaxOpen, settings.Slots, settings.ListOnRequest = size.maxOpen, 6, true
			s, err := New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			list := ListUpdate{Form: ListWhole}
			for i := range size.endpoints {
				list.Entries = append(list.Entries, Entry{Endpoint: EndpointID(i + 1), Destination: int64(i % 10), Nominal: 30})
			}
			s.Step(0, []Event{list})
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
				for open := len(s.openMessages); open < size.maxOpen; open++ {
					ids++
					evs = append(evs, NewMessage{ID: fmt.Sprint(ids), TimeLeft: 12 * Second, Destination: int64(ids % 10), Tenant: -1,
						Class: ids % 2})
				}
				due = append(due, actionsOf[CallOut](s.Step(now, evs))...)
			}
		})
	}
}

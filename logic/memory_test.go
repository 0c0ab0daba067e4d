package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
)

// largeList returns a full list of destinations with endpointsEach endpoints each.
func largeList(destinations, endpointsEach int) ListUpdate {
	list := ListUpdate{Form: ListWhole, Entries: make([]Entry, 0, destinations*endpointsEach)}
	for destination := range destinations {
		for endpoint := range endpointsEach {
			list.Entries = append(list.Entries, Entry{Endpoint: EndpointID(destination*endpointsEach + endpoint + 1),
				Destination: int64(destination), Zone: endpoint % 6, Nominal: 30})
		}
	}
	return list
}

// largeSettings returns the settings of one sender of the target deployment: 540 senders, six zones.
func largeSettings() Settings {
	settings := baseSettings()
	settings.Senders, settings.Zones, settings.Slots, settings.MaxOpen, settings.ConnCalls, settings.ConnIdle = 540, 6,
		4000, 20_000, 1, 10*Second
	settings.Weights = WeightsNominal
	return settings
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// runTraffic sends each destination one message every 50 s, as a sender of the target deployment does, for the given
// number of rounds. It returns the time after the last message.
func runTraffic(s *Sender, now Micros, destinations, rounds int) Micros {
	id := 0
	for range rounds {
		interval := 50 * Second / Micros(destinations)
		for destination := range destinations {
			now += interval
			id++
			arrival := NewMessage{ID: fmt.Sprint(id), TimeLeft: 10 * Second, Destination: int64(destination), Tenant: -1}
			for _, c := range actionsOf[CallOut](s.Step(now, []Event{arrival})) {
				duration := 20_000 + Micros(id*7919%60_000)
				s.Step(now+duration/1000, []Event{AttemptResult{ID: c.ID, Endpoint: c.Endpoint, Outcome: Completed,
					MessageEnded: true, Duration: duration}})
			}
		}
	}
	return now
}

// BenchmarkDestinations reports the heap bytes for each destination: with the list only, and with traffic of 0.02
// messages a second at each.
func BenchmarkDestinations(b *testing.B) {
	for _, destinations := range []int{1000, 10_000, 50_000, 100_000} {
		for _, endpointsEach := range []int{1, 2} {
			for _, rounds := range []int{0, 4} {
				b.Run(fmt.Sprintf("dests=%d/endpoints=%d/rounds=%d", destinations, endpointsEach, rounds), func(b *testing.B) {
					settings, list := largeSettings(), largeList(destinations, endpointsEach)
					for b.Loop() {
						b.StopTimer()
						before := liveHeap()
						b.StartTimer()
						s, err := New(settings, 1)
						if err != nil {
							b.Fatal(err)
						}
						s.Step(0, []Event{list})
						b.StopTimer()
						runTraffic(s, 0, destinations, rounds)
						b.ReportMetric(float64(liveHeap()-before)/float64(destinations), "B/dest")
						runtime.KeepAlive(s)
						b.StartTimer()
					}
				})
			}
		}
	}
}

// BenchmarkListChange measures one change of the list, and BenchmarkFullList a full list that changes nothing.
func BenchmarkListChange(b *testing.B) {
	for _, destinations := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("dests=%d", destinations), func(b *testing.B) {
			s, err := New(largeSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			list := largeList(destinations, 2)
			s.Step(0, []Event{list})
			now := Micros(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 1000
				entry := list.Entries[i*7919%len(list.Entries)]
				entry.State = EndpointState(i % 3)
				s.Step(now, []Event{ListUpdate{Form: ListDelta, Entries: []Entry{entry}}})
			}
		})
	}
}

func BenchmarkFullList(b *testing.B) {
	for _, destinations := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("dests=%d", destinations), func(b *testing.B) {
			s, err := New(largeSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			list := largeList(destinations, 2)
			b.ReportAllocs()
			for b.Loop() {
				s.Step(0, []Event{list})
			}
		})
	}
}

// BenchmarkOneDestination measures a list with all of its entries at one destination, which no list should have.
func BenchmarkOneDestination(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			for b.Loop() {
				s, err := New(largeSettings(), 1)
				if err != nil {
					b.Fatal(err)
				}
				s.Step(0, []Event{largeList(1, n)})
				s.Step(1, []Event{NewMessage{ID: "a", TimeLeft: 10 * Second, Tenant: -1}})
				removed := largeList(1, n)
				removed.Form = ListDelta
				for i := range removed.Entries {
					removed.Entries[i].State = Removed
				}
				s.Step(2, []Event{removed})
			}
		})
	}
}

// TestMemoryPerDestination bounds the heap bytes for a destination with two endpoints and little traffic. The bound
// comes from a fifth of the 256 MB that a sender has for control, at 100,000 destinations, and half as much again for
// growth of the list.
func TestMemoryPerDestination(t *testing.T) {
	const destinations, bound = 20_000, 900
	list := largeList(destinations, 2)
	before := liveHeap()
	s, err := New(largeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(0, []Event{list})
	now := runTraffic(s, 0, destinations, 4)
	if n := (int64(liveHeap()) - int64(before)) / destinations; n > bound {
		t.Errorf("got %d B for each destination, want at most %d", n, bound)
	}
	// Learned state is dropped after idleStateAge, even if no message arrives for a destination.
	withHistogram := func() (n int) {
		for _, d := range s.destinationOrder {
			if d.histogram.bins != nil {
				n++
			}
		}
		return n
	}
	if n := withHistogram(); n != destinations {
		t.Errorf("got %d destinations with a latency histogram after traffic, want all %d", n, destinations)
	}
	now += idleStateAge
	for i := range destinations {
		s.Step(now, []Event{NewMessage{ID: fmt.Sprint("x", i), TimeLeft: 10 * Second, Destination: 0, Tenant: -1},
			ClientGone{ID: fmt.Sprint("x", i)}})
	}
	if n := withHistogram(); n > 1 {
		t.Errorf("got %d destinations with a latency histogram after idleStateAge, want at most 1", n)
	}
	runtime.KeepAlive(list)
}

// denseHistogram is a histogram that stores all of its bins.
type denseHistogram struct {
	weights [binEdgeCount + 1]float64
	histogram
}

func (h *denseHistogram) add(now, duration Micros, cutOff bool) {
	factor := math.Exp2(-float64(now-h.updatedAt) / float64(histogramHalfLife))
	h.updatedAt = now
	for i := range h.weights {
		h.weights[i] *= factor
	}
	h.answeredWeight, h.cutOffWeight = h.answeredWeight*factor, h.cutOffWeight*factor
	if cutOff {
		h.cutOffWeight++
	} else {
		h.weights[binIndex(duration)]++
		h.answeredWeight++
	}
	h.bins = &binWeights{0, h.weights[:]}
	h.recompute()
}

// Guards against results that differ because a histogram does not store its empty bins.
func TestSparseHistogramMatchesDense(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		var dense denseHistogram
		var sparse histogram
		now := Micros(rnd.Int64N(int64(1000 * Second)))
		for i := range 5000 {
			interval := Micros(rnd.ExpFloat64() * float64(Second) * []float64{0.01, 1, 30}[seed%3])
			if rnd.IntN(1000) == 0 {
				interval = idleStateAge * Micros(rnd.IntN(40))
			}
			now += interval
			duration, cutOff := Micros(rnd.ExpFloat64()*50_000), rnd.IntN(15) == 0
			if rnd.IntN(50) == 0 {
				duration = Micros(rnd.Int64N(int64(100 * Second)))
			}
			dense.add(now, duration, cutOff)
			sparse.add(now, duration, cutOff)
			enoughSamples := dense.answeredWeight >= minSamples
			if sparse.answeredWeight != dense.answeredWeight || sparse.cutOffWeight != dense.cutOffWeight || sparse.tau != dense.tau ||
				enoughSamples && (sparse.median != dense.median || sparse.p95 != dense.p95) {
				t.Fatalf("seed %d, sample %d: got %+v, want %+v as with all bins", seed, i, sparse, dense.histogram)
			}
		}
	}
}

// Guards against a state transfer that grows too large: a destination known from the list only takes little more than
// its IDs, and one with learned state a few numbers more.
func TestTableRowsAreSmall(t *testing.T) {
	for _, tc := range []struct{ senders, rounds, maxBytes int }{{1, 0, 30}, {540, 0, 45}, {540, 4, 200}} {
		settings := largeSettings()
		settings.Senders = tc.senders
		s, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		const destinations = 2000
		s.Step(0, []Event{largeList(destinations, 2)})
		runTraffic(s, 0, destinations, tc.rounds)
		bytes := 0
		for row := range s.TableRows() {
			bytes += len(row)
		}
		t.Logf("%d senders, %d messages each: %d B for each destination with two endpoints", tc.senders, tc.rounds,
			bytes/destinations)
		if bytes/destinations > tc.maxBytes {
			t.Errorf("%d senders, %d messages each: got %d B for each destination, want at most %d", tc.senders, tc.rounds,
				bytes/destinations, tc.maxBytes)
		}
	}
}

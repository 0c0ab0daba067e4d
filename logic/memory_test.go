package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
)

// largeList lists destinations with a number of endpoints each.
func largeList(dests, each int) ListUpdate {
	ev := ListUpdate{Form: ListFull, Entries: make([]Entry, 0, dests*each)}
	for d := range dests {
		for e := range each {
			ev.Entries = append(ev.Entries, Entry{Endpoint: EndpointID(d*each + e + 1), Destination: int64(d), Zone: e % 6, Nominal: 30})
		}
	}
	return ev
}

// largeSettings are those of one sender of the target: 540 senders, six zones.
func largeSettings() Settings {
	set := baseSettings()
	set.Senders, set.Zones, set.Slots, set.MaxOpen, set.ConnCalls, set.ConnIdle = 540, 6, 4000, 20_000, 1, 10*Second
	set.Weights = WeightsNominal
	return set
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// runTraffic makes each destination serve some messages, 50 s apart, as the target has it at one sender.
func runTraffic(s *Sender, now Micros, dests, rounds int) Micros {
	id := 0
	for range rounds {
		gap := 50 * Second / Micros(dests)
		for d := range dests {
			now += gap
			id++
			call := NewMessage{ID: fmt.Sprint(id), TimeLeft: 10 * Second, Destination: int64(d), Tenant: -1}
			for _, c := range actionsOf[CallOut](s.Step(now, []Event{call})) {
				took := 20_000 + Micros(id*7919%60_000)
				s.Step(now+took/1000, []Event{AttemptResult{ID: c.ID, Endpoint: c.Endpoint, Outcome: Completed, MessageEnded: true, Duration: took}})
			}
		}
	}
	return now
}

// BenchmarkDestinations reports what the module holds for a destination, on the list only and with traffic of 0.02
// messages a second at each.
func BenchmarkDestinations(b *testing.B) {
	for _, dests := range []int{1000, 10_000, 50_000, 100_000} {
		for _, each := range []int{1, 2} {
			for _, rounds := range []int{0, 4} {
				b.Run(fmt.Sprintf("dests=%d/endpoints=%d/rounds=%d", dests, each, rounds), func(b *testing.B) {
					set, list := largeSettings(), largeList(dests, each)
					for b.Loop() {
						b.StopTimer()
						before := liveHeap()
						b.StartTimer()
						s, err := New(set, 1)
						if err != nil {
							b.Fatal(err)
						}
						s.Step(0, []Event{list})
						b.StopTimer()
						runTraffic(s, 0, dests, rounds)
						b.ReportMetric(float64(liveHeap()-before)/float64(dests), "B/dest")
						runtime.KeepAlive(s)
						b.StartTimer()
					}
				})
			}
		}
	}
}

// BenchmarkListChange is one change of the list, and BenchmarkWhole a whole list that changes nothing.
func BenchmarkListChange(b *testing.B) {
	for _, dests := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("dests=%d", dests), func(b *testing.B) {
			s, err := New(largeSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			list := largeList(dests, 2)
			s.Step(0, []Event{list})
			now := Micros(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 1000
				row := list.Entries[i*7919%len(list.Entries)]
				row.State = EndpointState(i % 3)
				s.Step(now, []Event{ListUpdate{Form: ListDelta, Entries: []Entry{row}}})
			}
		})
	}
}

func BenchmarkFullList(b *testing.B) {
	for _, dests := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("dests=%d", dests), func(b *testing.B) {
			s, err := New(largeSettings(), 1)
			if err != nil {
				b.Fatal(err)
			}
			list := largeList(dests, 2)
			b.ReportAllocs()
			for b.Loop() {
				s.Step(0, []Event{list})
			}
		})
	}
}

// BenchmarkOneDestination is a list with all of its entries at one destination, which no list should have.
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
				gone := largeList(1, n)
				gone.Form = ListDelta
				for i := range gone.Entries {
					gone.Entries[i].State = Removed
				}
				s.Step(2, []Event{gone})
			}
		})
	}
}

// TestMemoryPerDestination bounds what the module holds for a destination with two endpoints, called now and then: a
// fifth of a sender's 256 MB for control at 100,000, with half as much again for what the list grows by.
func TestMemoryPerDestination(t *testing.T) {
	const dests, most = 20_000, 900
	list := largeList(dests, 2)
	before := liveHeap()
	s, err := New(largeSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(0, []Event{list})
	now := runTraffic(s, 0, dests, 4)
	if n := (int64(liveHeap()) - int64(before)) / dests; n > most {
		t.Errorf("%d B a destination, want at most %d", n, most)
	}
	// What was learned goes once it has aged, though no message comes for most of them.
	learned := func() (n int) {
		for _, d := range s.destinationOrder {
			if d.histogram.bins != nil {
				n++
			}
		}
		return n
	}
	if n := learned(); n != dests {
		t.Errorf("%d destinations have learned something after traffic, want all %d", n, dests)
	}
	now += idleStateAge
	for i := range dests {
		s.Step(now, []Event{NewMessage{ID: fmt.Sprint("x", i), TimeLeft: 10 * Second, Destination: 0, Tenant: -1}, ClientGone{ID: fmt.Sprint("x", i)}})
	}
	if n := learned(); n > 1 {
		t.Errorf("%d destinations have kept what has aged", n)
	}
	runtime.KeepAlive(list)
}

// denseHistogram is the histogram with all of its bins.
type denseHistogram struct {
	weights [binCount + 1]float64
	histogram
}

func (h *denseHistogram) add(now, took Micros, cut bool) {
	f := math.Exp2(-float64(now-h.updatedAt) / float64(histogramHalfLife))
	h.updatedAt = now
	for i := range h.weights {
		h.weights[i] *= f
	}
	h.total, h.cutOffs = h.total*f, h.cutOffs*f
	if cut {
		h.cutOffs++
	} else {
		h.weights[binIndex(took)]++
		h.total++
	}
	h.bins = &binWeights{0, h.weights[:]}
	h.recompute()
}

// Bins that are not kept change nothing that is read of a histogram.
func TestSparseHistogramMatchesDense(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		var dense denseHistogram
		var sparse histogram
		now := Micros(rnd.Int64N(int64(1000 * Second)))
		for i := range 5000 {
			gap := Micros(rnd.ExpFloat64() * float64(Second) * []float64{0.01, 1, 30}[seed%3])
			if rnd.IntN(1000) == 0 {
				gap = idleStateAge * Micros(rnd.IntN(40))
			}
			now += gap
			took, cut := Micros(rnd.ExpFloat64()*50_000), rnd.IntN(15) == 0
			if rnd.IntN(50) == 0 {
				took = Micros(rnd.Int64N(int64(100 * Second)))
			}
			dense.add(now, took, cut)
			sparse.add(now, took, cut)
			believed := dense.total >= minSamples
			if sparse.total != dense.total || sparse.cutOffs != dense.cutOffs || sparse.tau != dense.tau ||
				believed && (sparse.median != dense.median || sparse.p95 != dense.p95) {
				t.Fatalf("seed %d, sample %d: %+v, with all bins %+v", seed, i, sparse, dense.histogram)
			}
		}
	}
}

// What nothing is known of but the list costs a transfer little more than its names; what was learned, a few numbers.
func TestTableRowsAreSmall(t *testing.T) {
	for _, x := range []struct{ senders, rounds, most int }{{1, 0, 30}, {540, 0, 45}, {540, 4, 200}} {
		set := largeSettings()
		set.Senders = x.senders
		s, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		const dests = 2000
		s.Step(0, []Event{largeList(dests, 2)})
		runTraffic(s, 0, dests, x.rounds)
		bytes := 0
		for row := range s.TableRows() {
			bytes += len(row)
		}
		t.Logf("%d senders, %d messages each: %d B a destination with two endpoints", x.senders, x.rounds, bytes/dests)
		if bytes/dests > x.most {
			t.Errorf("%d senders, %d messages each: %d B a destination, want at most %d", x.senders, x.rounds, bytes/dests, x.most)
		}
	}
}

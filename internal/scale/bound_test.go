package scale

import (
	"math"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"crossdeal/internal/node"
	"crossdeal/logic"
)

// The quick part: bounds that follow from the target, at sizes that take little. What it counts does not depend on how
// busy the machine is; processor time is the thread's own, with a bound far above what is measured.

// TestBoundHeap: control has 256 MB at 100,000 destinations with 200,000 endpoints. The collector lets the heap grow to
// twice of what lives, so that 128 MB may live: 1,280 B for a destination with its two endpoints, after a message.
func TestBoundHeap(t *testing.T) {
	const dests = 100_000 / 16 // maps grow by doubling: this fills them as the target does
	const most = ControlMemoryBytes / 2 / TargetDestinations
	each := heapBytes(func() *logic.Sender { return newListedSender(t, dests, 2, true) }) / dests
	t.Logf("%.0f B, bound %.0f", each, float64(most))
	if each > most {
		t.Errorf("a destination with two endpoints takes %.0f B, want at most %.0f", each, most)
	}
}

// TestBoundChange: applying a change costs what the change is worth, not what the list holds: it allocates the same
// number and size whatever is listed. In time, a change must not make the sender late: with 200,000 entries it has to
// fit in a tick (5 ms), and were all of it to grow with the list, in that part of a tick with fewer.
func TestBoundChange(t *testing.T) {
	type spent struct {
		times float64
		bytes uint64
	}
	var few, many spent
	for n, x := range map[int]*spent{1000: &few, 32_000: &many} {
		list := FullList(n/2, 2, 6, DestinationRate)
		b := newDriver(t, largeSettings(), list)
		i := 0
		step := func() { b.step(toggleEntry(i, list)); i++ }
		const rounds = 500
		var from, to runtime.MemStats
		runtime.ReadMemStats(&from)
		x.times = testing.AllocsPerRun(rounds, step)
		runtime.ReadMemStats(&to)
		x.bytes = (to.TotalAlloc - from.TotalAlloc) / rounds
		took, most := cpuMicros(200, step), float64(Settings(1).Tick)*32_000/TargetEntries
		t.Logf("%d entries: %+v, %.2f us, bound %.0f", n, *x, took, most)
		if took > most {
			t.Errorf("a change takes %.0f us with %d entries listed, want at most %.0f", took, n, most)
		}
	}
	if many.times > few.times || many.bytes > few.bytes+256 { // now and then a table grows by a row
		t.Errorf("a change allocates %+v with 1,000 entries listed and %+v with 32,000", few, many)
	}
}

// TestBoundStart: what a start from a saved list of 200,000 entries allocates in all, garbage too, stays under 256 MB,
// so that its peak does: 1,280 B an entry.
func TestBoundStart(t *testing.T) {
	const n, most = 16_000, ControlMemoryBytes / TargetEntries
	list := FullList(n/2, 2, 6, DestinationRate)
	list.Form = logic.ListCached
	var from, to runtime.MemStats
	runtime.ReadMemStats(&from)
	newDriver(t, largeSettings(), list)
	runtime.ReadMemStats(&to)
	each := float64(to.TotalAlloc-from.TotalAlloc) / n
	t.Logf("%.0f B an entry, bound %.0f", each, float64(most))
	if each > most {
		t.Errorf("a start allocates %.0f B an entry, want at most %.0f", each, most)
	}
}

// TestBoundStep: with a region lost a sender gets 4,074 messages a second and holds each for 0.29 s in the mean: 1,181.
// Were they all to wait, a step must still leave half of a tick of 5 ms for the journal and the sockets.
func TestBoundStep(t *testing.T) {
	held := int(math.Round(SenderRateRegionLost * 0.29))
	b := newDriver(t, waitingSettings(), FullList(1000, 2, 6, blockingRate))
	b.holdMessages(held, 1000)
	tick := float64(Settings(1).Tick)
	took := cpuMicros(20, b.idle)
	t.Logf("%.0f us, bound %.0f", took, tick/2)
	if took > tick/2 {
		t.Errorf("a step takes %.0f us with %d messages waiting, want at most %.0f", took, held, tick/2)
	}
	// Half a core's worth of allocating is some 500 MB/s; a tenth of that, in 200 steps a second, is 250 kB a step.
	var from, to runtime.MemStats
	runtime.ReadMemStats(&from)
	for range 20 {
		b.idle()
	}
	runtime.ReadMemStats(&to)
	each := (to.TotalAlloc - from.TotalAlloc) / 20
	t.Logf("%d B allocated, bound 250,000", each)
	if each > 250_000 {
		t.Errorf("a step allocates %d B with %d messages waiting, want at most 250,000", each, held)
	}
}

// TestBoundRate: one sender at 2,037 messages a second, 1.7% of its destinations down all along. What serves gets its
// messages: all but those for the 1.7%, those on their way (0.1 s in the mean) and 0.5% that chance ends. What is down
// gets at most what it would if no one learned: six calls for each of its messages, a tenth of all.
func TestBoundRate(t *testing.T) {
	const dests, span = 10_000, 4
	f := newFleet(t, FleetConfig{Seed: 1, Settings: Settings(TargetSenders), Senders: 1, Destinations: dests, MessageRate: SenderRate, OrderKeys: 10_000})
	for i := range int(TargetDownShare * dests) {
		f.SetMode(int64(i), Mode(1+i%2))
	}
	f.RunUntil(span * logic.Second)
	t.Logf("%+v", f.Counts)
	if want := float64(f.Messages)*(1-TargetDownShare-0.005) - SenderRate*0.15; float64(f.Delivered) < want {
		t.Errorf("%d of %d messages were delivered, want %.0f: %+v", f.Delivered, f.Messages, want, f.Counts)
	}
	if share := float64(f.CallsToDown) / float64(f.Calls); share > 6*TargetDownShare {
		t.Errorf("%.3f of the calls went to what is down, want at most %.3f", share, 6*TargetDownShare)
	}
	// It steps once a tick at most, however much comes, and so 200 times a second.
	if most := span*200 + 1; f.Steps > most {
		t.Errorf("%d steps in %d s, want at most %d", f.Steps, span, most)
	}
}

// TestBoundOutageDetection: with 0.02 messages a second for a destination, 99% of the senders have had one for it within the
// 240 s after it went down. Nearly each of them knows by its first: 95%. After the first minute the fleet spends no more
// calls on what is down than one for each message that comes for it: 1.7% of the messages.
func TestBoundOutageDetection(t *testing.T) {
	l := simulateOutage(t, 20, 300, TargetDownShare, 1)
	t.Logf("%+v", l)
	if l.knowingShare < 0.95 {
		t.Errorf("%.2f of the senders know after %d s, want 0.95", l.knowingShare, outageSeconds)
	}
	if l.downCallShare > TargetDownShare {
		t.Errorf("%.4f of the calls went to what is down, want at most %.4f", l.downCallShare, TargetDownShare)
	}
}

// TestBoundRecovery: a destination that returns cold gets no more than its budget N and what is chance, 2 root N + 2,
// in any window, from all senders together.
func TestBoundRecovery(t *testing.T) {
	for _, senders := range []int{20, 60} {
		w, calls := simulateRecovery(t, senders, 6, 1, 20*logic.Second)
		t.Logf("%d senders: %+v, %.2f beyond", senders, w, w.Excess())
		if calls == 0 {
			t.Errorf("%d senders: no call after the return", senders)
		}
		if w.Excess() > 1 {
			t.Errorf("%d senders: %d calls in a window from %d us on with a budget of %.1f", senders, w.Calls, w.Start, w.Budget)
		}
	}
}

// TestBoundJournal: a journal as full as it may be, 16 MiB, is replayed within a tenth of the 10 s until ready, and what
// it holds then stays under a fifth of the 256 MB.
func TestBoundJournal(t *testing.T) {
	const n, whole = 2000, 16 << 20
	dir := t.TempDir()
	fillJournal(t, dir, n)
	info, err := os.Stat(filepath.Join(dir, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	times := whole / float64(info.Size())
	if held := heapBytes(func() *node.Journal { return openJournal(t, dir) }) * times; held > ControlMemoryBytes/5 {
		t.Errorf("a full journal holds %.0f B", held)
	}
	took := times * cpuMicros(1, func() {
		if err := openJournal(t, dir).Close(); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%.0f us, bound a second", took)
	if took > 1e6 {
		t.Errorf("a full journal takes %.0f us to replay, want at most a second", took)
	}
}

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

// The quick tests check bounds that follow from the target, at sizes that take little time. Their counts do not depend
// on the load of the machine. Processor time is that of the thread, and its bounds are far above the measured values.

// TestBoundHeap checks the memory of a destination. Control may take 256 MB with 100,000 destinations and 200,000
// endpoints. The garbage collector lets the heap grow to twice the live heap, so that the live heap may have 128 MB:
// 1,280 B for a destination with its two endpoints, after a message.
func TestBoundHeap(t *testing.T) {
	const destinations = 100_000 / 16 // maps grow by doubling: 1/16 of the target fills them to the same degree
	const limit = ControlMemoryBytes / 2 / TargetDestinations
	perDestination := heapBytes(func() *logic.Sender { return newListedSender(t, destinations, 2, true) }) / destinations
	t.Logf("%.0f B a destination, limit %.0f", perDestination, float64(limit))
	if perDestination > limit {
		t.Errorf("a destination with two endpoints takes %.0f B, want at most %.0f", perDestination, limit)
	}
}

// TestBoundChange checks that the cost of a change does not depend on the size of the list: the number and size of its
// allocations stay the same. A change must not delay the sender: with 200,000 entries it has to fit in a tick of 5 ms.
// As its time may grow in proportion to the list, the limit at up to 32,000 entries is 32,000/200,000 of a tick.
func TestBoundChange(t *testing.T) {
	type allocations struct {
		count float64
		bytes uint64
	}
	var few, many allocations
	for n, allocated := range map[int]*allocations{1000: &few, 32_000: &many} {
		list := WholeList(n/2, 2, 6, DestinationRate)
		d := newDriver(t, largeSettings(), list)
		changes := 0
		step := func() { d.step(toggleEntry(changes, list)); changes++ }
		const rounds = 500
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		allocated.count = testing.AllocsPerRun(rounds, step)
		runtime.ReadMemStats(&after)
		allocated.bytes = (after.TotalAlloc - before.TotalAlloc) / rounds
		took, limit := cpuMicros(200, step), float64(Settings(1).Tick)*32_000/TargetEntries
		t.Logf("%d entries: %+v, %.2f us, limit %.0f", n, *allocated, took, limit)
		if took > limit {
			t.Errorf("a change takes %.0f us with %d entries listed, want at most %.0f", took, n, limit)
		}
	}
	if many.count > few.count || many.bytes > few.bytes+256 { // sometimes a table grows by one element
		t.Errorf("a change allocates %+v with 1,000 entries listed and %+v with 32,000, want no larger count and at most 256 B more", few, many)
	}
}

// TestBoundStart checks that all allocations of a start from a saved list of 200,000 entries, garbage included, stay
// under 256 MB, which bounds the peak memory: 1,280 B an entry.
func TestBoundStart(t *testing.T) {
	const n, limit = 16_000, ControlMemoryBytes / TargetEntries
	list := WholeList(n/2, 2, 6, DestinationRate)
	list.Form = logic.ListSaved
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	newDriver(t, largeSettings(), list)
	runtime.ReadMemStats(&after)
	perEntry := float64(after.TotalAlloc-before.TotalAlloc) / n
	t.Logf("%.0f B an entry, limit %.0f", perEntry, float64(limit))
	if perEntry > limit {
		t.Errorf("a start allocates %.0f B an entry, want at most %.0f", perEntry, limit)
	}
}

// TestBoundStep checks the time of a step while many messages wait. With a region lost, a sender gets 4,074 messages a
// second and holds each for 0.29 s on average, so it holds 1,181. Even if all of them wait, a step must leave half of a
// tick of 5 ms for the journal and the sockets.
func TestBoundStep(t *testing.T) {
	held := int(math.Round(SenderRateRegionLost * 0.29))
	d := newDriver(t, waitingSettings(), WholeList(1000, 2, 6, blockingRate))
	d.holdMessages(held, 1000)
	tick := float64(Settings(1).Tick)
	took := cpuMicros(20, d.idle)
	t.Logf("%.0f us a step, limit %.0f", took, tick/2)
	if took > tick/2 {
		t.Errorf("a step takes %.0f us with %d messages waiting, want at most %.0f", took, held, tick/2)
	}
	// Half a core allocates some 500 MB/s. A tenth of that, at 200 steps a second, is 250 kB a step.
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 20 {
		d.idle()
	}
	runtime.ReadMemStats(&after)
	perStep := (after.TotalAlloc - before.TotalAlloc) / 20
	t.Logf("%d B allocated in a step, limit 250,000", perStep)
	if perStep > 250_000 {
		t.Errorf("a step allocates %d B with %d messages waiting, want at most 250,000", perStep, held)
	}
}

// TestBoundRate runs one sender at 2,037 messages a second with 1.7% of its destinations down. Destinations that serve
// must get their messages: all but those for the 1.7%, those in flight (0.1 s on average, 0.15 s are allowed) and 0.5%
// that end by chance.
// Destinations that are down may get at most what they would if the sender never detected the outage: six calls for
// each of their messages, a tenth of all calls.
func TestBoundRate(t *testing.T) {
	const destinations, seconds = 10_000, 4
	f := newFleet(t, FleetConfig{Seed: 1, Settings: Settings(TargetSenders), Senders: 1, Destinations: destinations, MessageRate: SenderRate, OrderKeys: 10_000})
	for i := range int(TargetDownShare * destinations) {
		f.SetMode(int64(i), Mode(1+i%2))
	}
	f.RunUntil(seconds * logic.Second)
	t.Logf("%+v", f.Counts)
	if want := float64(f.Messages)*(1-TargetDownShare-0.005) - SenderRate*0.15; float64(f.Delivered) < want {
		t.Errorf("%d of %d messages were delivered, want at least %.0f: %+v", f.Delivered, f.Messages, want, f.Counts)
	}
	if share := float64(f.CallsToDown) / float64(f.Calls); share > 6*TargetDownShare {
		t.Errorf("%.3f of the calls went to destinations that are down, want at most %.3f", share, 6*TargetDownShare)
	}
	// A sender takes at most one step a tick, which is 200 a second, however many messages arrive.
	if limit := seconds*200 + 1; f.Steps > limit {
		t.Errorf("%d steps in %d s, want at most %d", f.Steps, seconds, limit)
	}
}

// TestBoundOutageDetection checks how many senders detect an outage and what calls it costs. With 0.02 messages a
// second for a destination, 99% of the senders have had one for it within the 240 s after it went down. Nearly all of
// them must detect the outage with their first message: 95%. After the first minute the fleet may make at most one call
// to destinations that are down for each message for them: 1.7% of the calls.
func TestBoundOutageDetection(t *testing.T) {
	result := simulateOutage(t, 20, 300, TargetDownShare, 1)
	t.Logf("%+v", result)
	if result.knowingShare < 0.95 {
		t.Errorf("%.2f of the senders have detected the outage after %d s, want at least 0.95", result.knowingShare, outageSeconds)
	}
	if result.downCallShare > TargetDownShare {
		t.Errorf("%.4f of the calls went to destinations that are down, want at most %.4f", result.downCallShare, TargetDownShare)
	}
}

// TestBoundRecovery checks that a destination that recovers from an outage gets, in any window and from all senders
// together, no more calls than its budget N plus what random arrivals explain: 2 sqrt(N) + 2.
func TestBoundRecovery(t *testing.T) {
	for _, senders := range []int{20, 60} {
		worst, calls := simulateRecovery(t, senders, 6, 1, 20*logic.Second)
		t.Logf("%d senders: worst window %+v, excess %.2f", senders, worst, worst.Excess())
		if calls == 0 {
			t.Errorf("%d senders: no call after the outage", senders)
		}
		if worst.Excess() > 1 {
			t.Errorf("%d senders: %d calls in the window that starts %d us after the outage, want at most its budget N = %.1f plus 2 sqrt(N) + 2", senders, worst.Calls, worst.Start, worst.Budget)
		}
	}
}

// TestBoundJournal checks a journal at its size limit of 16 MiB. Its replay may take a tenth of the 10 s in which a
// process must be ready, and its heap a fifth of the 256 MB.
func TestBoundJournal(t *testing.T) {
	const n, fullSize = 2000, 16 << 20
	dir := t.TempDir()
	fillJournal(t, dir, n)
	info, err := os.Stat(filepath.Join(dir, "journal"))
	if err != nil {
		t.Fatal(err)
	}
	scale := fullSize / float64(info.Size())
	if heldBytes := heapBytes(func() *node.Journal { return openJournal(t, dir) }) * scale; heldBytes > ControlMemoryBytes/5 {
		t.Errorf("a full journal holds %.0f B of heap, want at most a fifth of 256 MB", heldBytes)
	}
	took := scale * cpuMicros(1, func() {
		if err := openJournal(t, dir).Close(); err != nil {
			t.Fatal(err)
		}
	})
	t.Logf("%.0f us for the replay, limit 1 s", took)
	if took > 1e6 {
		t.Errorf("a full journal takes %.0f us to replay, want at most 1 s", took)
	}
}

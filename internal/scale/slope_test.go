package scale

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"crossdeal/logic"
)

// costRepeats is how often each figure of processor time is taken; the report has the median.
const costRepeats = 5

// driver is one logic.Sender that is driven by hand.
type driver struct {
	t            testing.TB
	sender       *logic.Sender
	now          logic.Micros
	messagesMade int
	orderKeys    bool // each message has an order key of its own
	openCalls    []logic.CallOut
}

func newDriver(t testing.TB, set logic.Settings, list logic.ListUpdate) *driver {
	t.Helper()
	s, err := logic.New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &driver{t: t, sender: s}
	b.step(list)
	return b
}

// step lets a tick pass and notes the calls made.
func (b *driver) step(events ...logic.Event) { b.advance(5000, events...) }

// idle is a step that nothing calls for, an instant later: however many there are, nothing gets old.
func (b *driver) idle() { b.advance(10, logic.TimerExpired{}) }

func (b *driver) advance(wait logic.Micros, events ...logic.Event) {
	b.now += wait
	for _, a := range b.sender.Step(b.now, events) {
		if c, ok := a.(logic.CallOut); ok {
			b.openCalls = append(b.openCalls, c)
		}
	}
}

// newMessage is a new one, of the keyed class or, with keys, of the class that keeps their order.
func (b *driver) newMessage(dest int) logic.NewMessage {
	b.messagesMade++
	c := logic.NewMessage{ID: strconv.Itoa(b.messagesMade), TimeLeft: 12 * logic.Second, Destination: int64(dest), Tenant: -1, Class: 1}
	if b.orderKeys {
		c.Class, c.Key, c.TimeLeft = 0, "key-"+c.ID, 10*logic.Second
	}
	return c
}

// holdMessages hands in n messages for destinations 0 to dests-1 in turn, a thousand at a step.
func (b *driver) holdMessages(n, dests int) {
	var evs []logic.Event
	for i := range n {
		if evs = append(evs, b.newMessage(i%dests)); len(evs) == 1000 || i == n-1 {
			b.advance(10, evs...) // all of it within an instant, so that nothing is late afterwards
			evs = nil
		}
	}
}

// completeOldest ends the oldest n calls that are out.
func (b *driver) completeOldest(n int) (evs []logic.Event) {
	for _, c := range b.openCalls[:n] {
		evs = append(evs, logic.AttemptResult{ID: c.ID, Endpoint: c.Endpoint, Outcome: logic.Completed, MessageEnded: true, Duration: 80_000})
	}
	b.openCalls = b.openCalls[n:]
	return evs
}

// cpuMicros is the median over some repeats of the thread's processor time for one of n calls of do, in microseconds.
func cpuMicros(n int, do func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var took []time.Duration
	for range costRepeats {
		from := ThreadCPUTime()
		for range n {
			do()
		}
		took = append(took, ThreadCPUTime()-from)
	}
	return Median(took).Seconds() * 1e6 / float64(n)
}

// largeSettings has slots for all that the measurements hold.
func largeSettings() logic.Settings {
	set := Settings(TargetSenders)
	set.Slots, set.MaxOpen = 1<<16, 1<<18
	return set
}

// waitingSettings has a pace for each destination that lets next to nothing go, so that all held messages wait and every
// step looks at each of them: the longest way through the rules.
func waitingSettings() logic.Settings {
	set := largeSettings()
	set.LimitLeftIndex, set.LimitIndex = -1, -1
	return set
}

const blockingRate = 0.001 // calls a second, the limit of a destination where all is to wait

var heldSizes = []int{100, 400, 1000, 4000, 16_000}

// TestScaleHeld measures a step, and what a message adds to it, against the messages held: all out, all waiting.
func TestScaleHeld(t *testing.T) {
	skipUnlessLarge(t)
	const dests, batch = 1000, 10 // of the 2,037 messages a second ten come in each of 200 steps
	for _, each := range []int{1, 2} {
		fixed := map[string]float64{"destinations": dests, "endpoints_each": float64(each)}
		heldTarget := SenderRate * 0.29 // messages held is the rate times the mean time held, 0.29 s with 1.7% down: "one sender: messages held"
		out := Series{Name: "a step, all held are out", XUnit: "messages held", YUnit: "us", TargetX: heldTarget, Fixed: fixed}
		wait := Series{Name: "a step, all held wait", XUnit: "messages held", YUnit: "us", TargetX: heldTarget, Fixed: fixed}
		event := Series{Name: "a message (came, sent, delivered), all held are out", XUnit: "messages held", YUnit: "us",
			TargetX: heldTarget, Fixed: fixed, Note: "what each of ten adds to a step"}
		for _, n := range heldSizes {
			b := newDriver(t, largeSettings(), FullList(dests, each, 6, 0))
			b.holdMessages(n, dests)
			if len(b.openCalls) != n {
				t.Fatalf("%d of %d messages are out", len(b.openCalls), n)
			}
			rounds := max(10, 20_000/n)
			idle := cpuMicros(rounds, b.idle)
			out.Points = append(out.Points, Point{float64(n), idle})
			busy := cpuMicros(5, func() {
				evs := b.completeOldest(batch)
				for range batch {
					evs = append(evs, b.newMessage(b.messagesMade%dests))
				}
				b.step(evs...)
			})
			event.Points = append(event.Points, Point{float64(n), max(busy-idle, 0) / batch})

			b = newDriver(t, waitingSettings(), FullList(dests, each, 6, blockingRate))
			b.holdMessages(n, dests)
			if len(b.openCalls) > n/20 {
				t.Fatalf("%d of %d messages went out, all should wait", len(b.openCalls), n)
			}
			wait.Points = append(wait.Points, Point{float64(n), cpuMicros(rounds, b.idle)})
		}
		report.AddSeries(out)
		report.AddSeries(wait)
		report.AddSeries(event)
	}
}

// ---- Heap -------------------------------------------------------------------------------

// heapBytes is the heap that what make returns holds, in bytes.
func heapBytes[T any](make func() T) float64 {
	from := LiveHeap()
	x := make()
	n := LiveHeap() - from
	runtime.KeepAlive(x)
	return float64(n)
}

// newListedSender is a sender that knows so many destinations and has had a message delivered at each, if traffic says so.
func newListedSender(t testing.TB, dests, each int, traffic bool) *logic.Sender {
	b := newDriver(t, largeSettings(), FullList(dests, each, 6, 0))
	if traffic {
		for from := 0; from < dests; from += 1000 {
			var evs []logic.Event
			for i := from; i < min(from+1000, dests); i++ {
				evs = append(evs, b.newMessage(i))
			}
			b.step(evs...)
			b.step(b.completeOldest(len(b.openCalls))...)
		}
	}
	return b.sender
}

// TestScaleHeap measures the heap of each table of the module.
func TestScaleHeap(t *testing.T) {
	skipUnlessLarge(t)
	for _, traffic := range []bool{false, true} {
		name, with := "heap: destinations, untouched", 0.0
		if traffic {
			name, with = "heap: destinations, each with a message delivered", 1
		}
		s := Series{Name: name, XUnit: "destinations", YUnit: "B", TargetX: TargetDestinations, Limit: ControlMemoryBytes,
			Fixed: map[string]float64{"endpoints_each": 1, "messages_each": with}}
		for _, n := range []int{1000, 5000, 20_000, 100_000} {
			s.Points = append(s.Points, Point{float64(n), heapBytes(func() *logic.Sender { return newListedSender(t, n, 1, traffic) })})
		}
		report.AddSeries(s)
		e := Series{Name: "heap: endpoints", XUnit: "endpoints", YUnit: "B", TargetX: TargetEntries, Limit: ControlMemoryBytes,
			Fixed: map[string]float64{"destinations": 20_000, "messages_each": with}, Note: "those beyond one each are called by none here"}
		for _, each := range []int{1, 2, 4, 8} {
			e.Points = append(e.Points, Point{float64(20_000 * each), heapBytes(func() *logic.Sender { return newListedSender(t, 20_000, each, traffic) })})
		}
		report.AddSeries(e)
	}
	whole := heapBytes(func() *logic.Sender { return newListedSender(t, TargetDestinations, 2, true) })
	report.AddFact(Fact{Name: "heap: 100,000 destinations of two endpoints, each with a message delivered", Unit: "B", Value: whole, Limit: ControlMemoryBytes})

	out := Series{Name: "heap: messages out", XUnit: "messages held", YUnit: "B", TargetX: SenderRate * 0.29, Note: "without their bodies"}
	wait := Series{Name: "heap: messages waiting", XUnit: "messages held", YUnit: "B", TargetX: SenderRate * 0.29, Note: out.Note}
	keys := Series{Name: "heap: order keys at rest", XUnit: "keys", YUnit: "B", TargetX: 100_000, Note: "forgotten once their number has doubled"}
	for _, n := range []int{1000, 4000, 16_000, 32_000} {
		out.Points = append(out.Points, Point{float64(n), heapBytes(func() *logic.Sender {
			b := newDriver(t, largeSettings(), FullList(1000, 1, 6, 0))
			b.holdMessages(n, 1000)
			return b.sender
		})})
		wait.Points = append(wait.Points, Point{float64(n / 4), heapBytes(func() *logic.Sender {
			b := newDriver(t, waitingSettings(), FullList(1000, 1, 6, blockingRate))
			b.holdMessages(n/4, 1000)
			return b.sender
		})})
		keys.Points = append(keys.Points, Point{float64(n), heapBytes(func() *logic.Sender {
			b := newDriver(t, largeSettings(), FullList(1000, 1, 6, 0))
			b.orderKeys = true
			b.holdMessages(n, 1000)
			b.step(b.completeOldest(len(b.openCalls))...)
			return b.sender
		})})
	}
	report.AddSeries(out)
	report.AddSeries(wait)
	report.AddSeries(keys)
}

// ---- The list -------------------------------------------------------------------------

// toggleEntry is one change to the list: an entry leaves, or comes back.
func toggleEntry(i int, list logic.ListUpdate) logic.ListUpdate {
	row := list.Entries[(i/2*7919)%len(list.Entries)]
	if i%2 == 0 {
		row.State = logic.Removed
	}
	return logic.ListUpdate{Form: logic.ListDelta, Entries: []logic.Entry{row}}
}

var listSizes = []int{1000, 5000, 20_000, 100_000, TargetEntries}

// TestScaleChange measures what the module spends to take one change, and a whole list that changes nothing, against
// the entries listed.
func TestScaleChange(t *testing.T) {
	skipUnlessLarge(t)
	fixed := map[string]float64{"endpoints_each": 2}
	one := Series{Name: "list: one change", XUnit: "entries", YUnit: "us", TargetX: TargetEntries, Fixed: fixed,
		Limit: ControlCoreShare * 86400 / TargetChangesPerDay * 1e6, Note: "the limit is all that control may spend, for 1,400 a day"}
	allocated := Series{Name: "list: allocations for one change", XUnit: "entries", YUnit: "allocations", TargetX: TargetEntries, Fixed: fixed}
	whole := Series{Name: "list: a whole list that changes nothing", XUnit: "entries", YUnit: "ms", TargetX: TargetEntries, Fixed: fixed}
	start := Series{Name: "list: a start of the module from a saved list", XUnit: "entries", YUnit: "ms", TargetX: TargetEntries,
		Limit: 10_000, Fixed: fixed, Note: "the limit is the time until nine in ten restarted processes are ready"}
	for _, n := range listSizes {
		list := FullList(n/2, 2, 6, DestinationRate*2)
		b := newDriver(t, largeSettings(), list)
		i := 0
		step := func() { b.step(toggleEntry(i, list)); i++ }
		one.Points = append(one.Points, Point{float64(n), cpuMicros(2000, step)})
		allocated.Points = append(allocated.Points, Point{float64(n), testing.AllocsPerRun(1000, step)})
		whole.Points = append(whole.Points, Point{float64(n), cpuMicros(1, func() { b.step(list) }) / 1000})
		saved := list
		saved.Form, saved.Stale = logic.ListCached, true
		start.Points = append(start.Points, Point{float64(n), cpuMicros(1, func() { newDriver(t, largeSettings(), saved) }) / 1000})
	}
	for _, s := range []Series{one, allocated, whole, start} {
		report.AddSeries(s)
	}
}

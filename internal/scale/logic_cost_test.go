package scale

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"crossdeal/logic"
)

// costRepeats is the number of measurements of each processor time; the report has their median.
const costRepeats = 5

// driver drives one logic.Sender step by step.
type driver struct {
	t            testing.TB
	sender       *logic.Sender
	now          logic.Micros
	messagesMade int
	orderKeys    bool // give each message an order key of its own
	openCalls    []logic.CallOut
}

func newDriver(t testing.TB, settings logic.Settings, list logic.ListUpdate) *driver {
	t.Helper()
	sender, err := logic.New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{t: t, sender: sender}
	d.step(list)
	return d
}

// step takes a step one tick later and records the calls.
func (d *driver) step(events ...logic.Event) { d.advance(5000, events...) }

// idle takes a step 10 us later with an event that changes nothing. The time is so short that no message becomes late,
// however many such steps there are.
func (d *driver) idle() { d.advance(10, logic.TimerExpired{}) }

// advance takes a step after a wait and records the calls.
func (d *driver) advance(wait logic.Micros, events ...logic.Event) {
	d.now += wait
	for _, a := range d.sender.Step(d.now, events) {
		if c, ok := a.(logic.CallOut); ok {
			d.openCalls = append(d.openCalls, c)
		}
	}
}

// newMessage returns a new message of the keyed class or, with orderKeys, of the class that keeps the order of keys.
func (d *driver) newMessage(destination int) logic.NewMessage {
	d.messagesMade++
	message := logic.NewMessage{ID: strconv.Itoa(d.messagesMade), TimeLeft: 12 * logic.Second, Destination: int64(destination), Tenant: -1, Class: 1}
	if d.orderKeys {
		message.Class, message.Key, message.TimeLeft = 0, "key-"+message.ID, 10*logic.Second
	}
	return message
}

// holdMessages adds n messages for the destinations in turn, a thousand in each step.
func (d *driver) holdMessages(n, destinations int) {
	var events []logic.Event
	for i := range n {
		if events = append(events, d.newMessage(i%destinations)); len(events) == 1000 || i == n-1 {
			d.advance(10, events...) // a short time for all, so that none is late afterwards
			events = nil
		}
	}
}

// completeOldest returns the answers that complete the n oldest open calls.
func (d *driver) completeOldest(n int) (events []logic.Event) {
	for _, c := range d.openCalls[:n] {
		events = append(events, logic.AttemptResult{ID: c.ID, Endpoint: c.Endpoint, Outcome: logic.Completed, MessageEnded: true, Duration: 80_000})
	}
	d.openCalls = d.openCalls[n:]
	return events
}

// cpuMicros returns the processor time of the thread for one call of do in microseconds: the median of some
// measurements of n calls each.
func cpuMicros(n int, do func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var durations []time.Duration
	for range costRepeats {
		start := ThreadCPUTime()
		for range n {
			do()
		}
		durations = append(durations, ThreadCPUTime()-start)
	}
	return Median(durations).Seconds() * 1e6 / float64(n)
}

// largeSettings returns settings with slots for all messages that the measurements hold.
func largeSettings() logic.Settings {
	settings := Settings(TargetSenders)
	settings.Slots, settings.MaxOpen = 1<<16, 1<<18
	return settings
}

// waitingSettings returns settings without reports of what is left of a rate limit, so that the listed limit bounds the
// calls to a destination. With [blockingRate] as the limit, all held messages wait and every step considers each of
// them: the most expensive case of the decision logic.
func waitingSettings() logic.Settings {
	settings := largeSettings()
	settings.LimitLeftIndex, settings.LimitIndex = -1, -1
	return settings
}

const blockingRate = 0.001 // calls a second, the rate limit of a destination whose messages all have to wait

var heldSizes = []int{100, 400, 1000, 4000, 16_000}

// TestScaleHeld measures a step, and what a message adds to it, by the number of messages held: all in flight, and all
// waiting.
func TestScaleHeld(t *testing.T) {
	skipUnlessLarge(t)
	const destinations, batch = 1000, 10 // at 2,037 messages a second, ten arrive in each of 200 steps
	for _, endpointsEach := range []int{1, 2} {
		fixed := map[string]float64{"destinations": destinations, "endpoints_each": float64(endpointsEach)}
		heldTarget := SenderRate * 0.29 // rate times mean time held, 0.29 s with 1.7% down (series "one sender: messages held")
		inFlight := Series{Name: "a step, all held are out", XUnit: "messages held", YUnit: "us", TargetX: heldTarget, Fixed: fixed}
		waiting := Series{Name: "a step, all held wait", XUnit: "messages held", YUnit: "us", TargetX: heldTarget, Fixed: fixed}
		event := Series{Name: "a message (came, sent, delivered), all held are out", XUnit: "messages held", YUnit: "us",
			TargetX: heldTarget, Fixed: fixed, Note: "what each of ten adds to a step"}
		for _, n := range heldSizes {
			d := newDriver(t, largeSettings(), WholeList(destinations, endpointsEach, 6, 0))
			d.holdMessages(n, destinations)
			if len(d.openCalls) != n {
				t.Fatalf("%d of %d messages are in flight, want all", len(d.openCalls), n)
			}
			rounds := max(10, 20_000/n)
			idle := cpuMicros(rounds, d.idle)
			inFlight.Points = append(inFlight.Points, Point{float64(n), idle})
			busy := cpuMicros(5, func() {
				events := d.completeOldest(batch)
				for range batch {
					events = append(events, d.newMessage(d.messagesMade%destinations))
				}
				d.step(events...)
			})
			event.Points = append(event.Points, Point{float64(n), max(busy-idle, 0) / batch})

			d = newDriver(t, waitingSettings(), WholeList(destinations, endpointsEach, 6, blockingRate))
			d.holdMessages(n, destinations)
			if len(d.openCalls) > n/20 {
				t.Fatalf("%d of %d messages were sent, want at most one in 20", len(d.openCalls), n)
			}
			waiting.Points = append(waiting.Points, Point{float64(n), cpuMicros(rounds, d.idle)})
		}
		report.AddSeries(inFlight)
		report.AddSeries(waiting)
		report.AddSeries(event)
	}
}

// Heap.

// heapBytes returns the live heap that the value returned by create holds, in bytes.
func heapBytes[T any](create func() T) float64 {
	before := LiveHeap()
	value := create()
	size := LiveHeap() - before
	runtime.KeepAlive(value)
	return float64(size)
}

// newListedSender returns a sender that has a list of destinations and, with withTraffic, has delivered a message to
// each.
func newListedSender(t testing.TB, destinations, endpointsEach int, withTraffic bool) *logic.Sender {
	d := newDriver(t, largeSettings(), WholeList(destinations, endpointsEach, 6, 0))
	if withTraffic {
		for first := 0; first < destinations; first += 1000 {
			var events []logic.Event
			for i := first; i < min(first+1000, destinations); i++ {
				events = append(events, d.newMessage(i))
			}
			d.step(events...)
			d.step(d.completeOldest(len(d.openCalls))...)
		}
	}
	return d.sender
}

// TestScaleHeap measures the heap of each table of the decision logic.
func TestScaleHeap(t *testing.T) {
	skipUnlessLarge(t)
	for _, withTraffic := range []bool{false, true} {
		name, messagesEach := "heap: destinations, untouched", 0.0
		if withTraffic {
			name, messagesEach = "heap: destinations, each with a message delivered", 1
		}
		destinations := Series{Name: name, XUnit: "destinations", YUnit: "B", TargetX: TargetDestinations, Limit: ControlMemoryBytes,
			Fixed: map[string]float64{"endpoints_each": 1, "messages_each": messagesEach}}
		for _, n := range []int{1000, 5000, 20_000, 100_000} {
			destinations.Points = append(destinations.Points, Point{float64(n), heapBytes(func() *logic.Sender { return newListedSender(t, n, 1, withTraffic) })})
		}
		report.AddSeries(destinations)
		endpoints := Series{Name: "heap: endpoints", XUnit: "endpoints", YUnit: "B", TargetX: TargetEntries, Limit: ControlMemoryBytes,
			Fixed: map[string]float64{"destinations": 20_000, "messages_each": messagesEach}, Note: "those beyond one each are called by none here"}
		for _, endpointsEach := range []int{1, 2, 4, 8} {
			endpoints.Points = append(endpoints.Points, Point{float64(20_000 * endpointsEach), heapBytes(func() *logic.Sender { return newListedSender(t, 20_000, endpointsEach, withTraffic) })})
		}
		report.AddSeries(endpoints)
	}
	whole := heapBytes(func() *logic.Sender { return newListedSender(t, TargetDestinations, 2, true) })
	report.AddFact(Fact{Name: "heap: 100,000 destinations of two endpoints, each with a message delivered", Unit: "B", Value: whole, Limit: ControlMemoryBytes})

	inFlight := Series{Name: "heap: messages out", XUnit: "messages held", YUnit: "B", TargetX: SenderRate * 0.29, Note: "without their bodies"}
	waiting := Series{Name: "heap: messages waiting", XUnit: "messages held", YUnit: "B", TargetX: SenderRate * 0.29, Note: inFlight.Note}
	keys := Series{Name: "heap: order keys at rest", XUnit: "keys", YUnit: "B", TargetX: 100_000, Note: "forgotten once their number has doubled"}
	for _, n := range []int{1000, 4000, 16_000, 32_000} {
		inFlight.Points = append(inFlight.Points, Point{float64(n), heapBytes(func() *logic.Sender {
			d := newDriver(t, largeSettings(), WholeList(1000, 1, 6, 0))
			d.holdMessages(n, 1000)
			return d.sender
		})})
		waiting.Points = append(waiting.Points, Point{float64(n / 4), heapBytes(func() *logic.Sender {
			d := newDriver(t, waitingSettings(), WholeList(1000, 1, 6, blockingRate))
			d.holdMessages(n/4, 1000)
			return d.sender
		})})
		keys.Points = append(keys.Points, Point{float64(n), heapBytes(func() *logic.Sender {
			d := newDriver(t, largeSettings(), WholeList(1000, 1, 6, 0))
			d.orderKeys = true
			d.holdMessages(n, 1000)
			d.step(d.completeOldest(len(d.openCalls))...)
			return d.sender
		})})
	}
	report.AddSeries(inFlight)
	report.AddSeries(waiting)
	report.AddSeries(keys)
}

// The list.

// toggleEntry returns change i to the list: even changes remove an entry, odd ones add it again.
func toggleEntry(i int, list logic.ListUpdate) logic.ListUpdate {
	entry := list.Entries[(i/2*7919)%len(list.Entries)]
	if i%2 == 0 {
		entry.State = logic.Removed
	}
	return logic.ListUpdate{Form: logic.ListDelta, Entries: []logic.Entry{entry}}
}

var listSizes = []int{1000, 5000, 20_000, 100_000, TargetEntries}

// TestScaleChange measures what it costs the decision logic to apply one change, or a whole list without changes, by
// the number of entries listed.
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
		list := WholeList(n/2, 2, 6, DestinationRate*2)
		d := newDriver(t, largeSettings(), list)
		changes := 0
		step := func() { d.step(toggleEntry(changes, list)); changes++ }
		one.Points = append(one.Points, Point{float64(n), cpuMicros(2000, step)})
		allocated.Points = append(allocated.Points, Point{float64(n), testing.AllocsPerRun(1000, step)})
		whole.Points = append(whole.Points, Point{float64(n), cpuMicros(1, func() { d.step(list) }) / 1000})
		saved := list
		saved.Form, saved.Stale = logic.ListSaved, true
		start.Points = append(start.Points, Point{float64(n), cpuMicros(1, func() { newDriver(t, largeSettings(), saved) }) / 1000})
	}
	for _, s := range []Series{one, allocated, whole, start} {
		report.AddSeries(s)
	}
}

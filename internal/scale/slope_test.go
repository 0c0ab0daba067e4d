package scale

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"crossdeal/logic"
)

// repeats is how often each figure of processor time is taken; the report has the median.
const repeats = 5

// bench is one logic.Sender that is driven by hand.
type bench struct {
	t    testing.TB
	s    *logic.Sender
	now  logic.Micros
	ids  int
	keys bool // each message has an order key of its own
	sent []logic.CallOut
}

func newBench(t testing.TB, set logic.Settings, list logic.ListUpdate) *bench {
	t.Helper()
	s, err := logic.New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, s: s}
	b.step(list)
	return b
}

// step lets a tick pass and notes the calls made.
func (b *bench) step(events ...logic.Event) { b.after(5000, events...) }

// idle is a step that nothing calls for, an instant later: however many there are, nothing gets old.
func (b *bench) idle() { b.after(10, logic.TimerExpired{}) }

func (b *bench) after(wait logic.Micros, events ...logic.Event) {
	b.now += wait
	for _, a := range b.s.Step(b.now, events) {
		if c, ok := a.(logic.CallOut); ok {
			b.sent = append(b.sent, c)
		}
	}
}

// message is a new one, of the keyed class or, with keys, of the class that keeps their order.
func (b *bench) message(dest int) logic.NewMessage {
	b.ids++
	c := logic.NewMessage{ID: strconv.Itoa(b.ids), TimeLeft: 12 * logic.Second, Destination: int64(dest), Tenant: -1, Class: 1}
	if b.keys {
		c.Class, c.Key, c.TimeLeft = 0, "key-"+c.ID, 10*logic.Second
	}
	return c
}

// hold hands in n messages for destinations 0 to dests-1 in turn, a thousand at a step.
func (b *bench) hold(n, dests int) {
	var evs []logic.Event
	for i := range n {
		if evs = append(evs, b.message(i%dests)); len(evs) == 1000 || i == n-1 {
			b.after(10, evs...) // all of it within an instant, so that nothing is late afterwards
			evs = nil
		}
	}
}

// deliver ends the oldest n calls that are out.
func (b *bench) deliver(n int) (evs []logic.Event) {
	for _, c := range b.sent[:n] {
		evs = append(evs, logic.AttemptResult{ID: c.ID, Endpoint: c.Endpoint, Outcome: logic.Completed, MessageEnded: true, Duration: 80_000})
	}
	b.sent = b.sent[n:]
	return evs
}

// cost is the median over some repeats of the thread's processor time for one of n calls of do, in microseconds.
func cost(n int, do func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var took []time.Duration
	for range repeats {
		from := ThreadTime()
		for range n {
			do()
		}
		took = append(took, ThreadTime()-from)
	}
	return Median(took).Seconds() * 1e6 / float64(n)
}

// fullSettings has slots for all that the measurements hold.
func fullSettings() logic.Settings {
	set := Settings(TargetSenders)
	set.Slots, set.MaxOpen = 1<<16, 1<<18
	return set
}

// waitSettings has a pace for each destination that lets next to nothing go, so that all held messages wait and every
// step looks at each of them: the longest way through the rules.
func waitSettings() logic.Settings {
	set := fullSettings()
	set.LimitLeftIndex, set.LimitIndex = -1, -1
	return set
}

const crawl = 0.001 // calls a second, the limit of a destination where all is to wait

var heldSizes = []int{100, 400, 1000, 4000, 16_000}

// TestScaleHeld measures a step, and what a message adds to it, against the messages held: all out, all waiting.
func TestScaleHeld(t *testing.T) {
	needLarge(t)
	const dests, batch = 1000, 10 // of the 2,037 messages a second ten come in each of 200 steps
	for _, each := range []int{1, 2} {
		fixed := map[string]float64{"destinations": dests, "endpoints_each": float64(each)}
		heldTarget := SenderRate * 0.29 // messages held is the rate times the mean time held, 0.29 s with 1.7% down: "one sender: messages held"
		out := Series{Name: "a step, all held are out", XUnit: "messages held", YUnit: "us", TargetX: heldTarget, Fixed: fixed}
		wait := Series{Name: "a step, all held wait", XUnit: "messages held", YUnit: "us", TargetX: heldTarget, Fixed: fixed}
		event := Series{Name: "a message (came, sent, delivered), all held are out", XUnit: "messages held", YUnit: "us",
			TargetX: heldTarget, Fixed: fixed, Note: "what each of ten adds to a step"}
		for _, n := range heldSizes {
			b := newBench(t, fullSettings(), List(dests, each, 6, 0))
			b.hold(n, dests)
			if len(b.sent) != n {
				t.Fatalf("%d of %d messages are out", len(b.sent), n)
			}
			rounds := max(10, 20_000/n)
			idle := cost(rounds, b.idle)
			out.Points = append(out.Points, Point{float64(n), idle})
			busy := cost(5, func() {
				evs := b.deliver(batch)
				for range batch {
					evs = append(evs, b.message(b.ids%dests))
				}
				b.step(evs...)
			})
			event.Points = append(event.Points, Point{float64(n), max(busy-idle, 0) / batch})

			b = newBench(t, waitSettings(), List(dests, each, 6, crawl))
			b.hold(n, dests)
			if len(b.sent) > n/20 {
				t.Fatalf("%d of %d messages went out, all should wait", len(b.sent), n)
			}
			wait.Points = append(wait.Points, Point{float64(n), cost(rounds, b.idle)})
		}
		report.Add(out)
		report.Add(wait)
		report.Add(event)
	}
}

// ---- Heap -------------------------------------------------------------------------------

// heapOf is the heap that what make returns holds, in bytes.
func heapOf[T any](make func() T) float64 {
	from := Heap()
	x := make()
	n := Heap() - from
	runtime.KeepAlive(x)
	return float64(n)
}

// listed is a sender that knows so many destinations and has had a message delivered at each, if traffic says so.
func listed(t testing.TB, dests, each int, traffic bool) *logic.Sender {
	b := newBench(t, fullSettings(), List(dests, each, 6, 0))
	if traffic {
		for from := 0; from < dests; from += 1000 {
			var evs []logic.Event
			for i := from; i < min(from+1000, dests); i++ {
				evs = append(evs, b.message(i))
			}
			b.step(evs...)
			b.step(b.deliver(len(b.sent))...)
		}
	}
	return b.s
}

// TestScaleHeap measures the heap of each table of the module.
func TestScaleHeap(t *testing.T) {
	needLarge(t)
	for _, traffic := range []bool{false, true} {
		name, with := "heap: destinations, untouched", 0.0
		if traffic {
			name, with = "heap: destinations, each with a message delivered", 1
		}
		s := Series{Name: name, XUnit: "destinations", YUnit: "B", TargetX: TargetDestinations, Limit: ControlBytes,
			Fixed: map[string]float64{"endpoints_each": 1, "messages_each": with}}
		for _, n := range []int{1000, 5000, 20_000, 100_000} {
			s.Points = append(s.Points, Point{float64(n), heapOf(func() *logic.Sender { return listed(t, n, 1, traffic) })})
		}
		report.Add(s)
		e := Series{Name: "heap: endpoints", XUnit: "endpoints", YUnit: "B", TargetX: TargetEntries, Limit: ControlBytes,
			Fixed: map[string]float64{"destinations": 20_000, "messages_each": with}, Note: "those beyond one each are called by none here"}
		for _, each := range []int{1, 2, 4, 8} {
			e.Points = append(e.Points, Point{float64(20_000 * each), heapOf(func() *logic.Sender { return listed(t, 20_000, each, traffic) })})
		}
		report.Add(e)
	}
	whole := heapOf(func() *logic.Sender { return listed(t, TargetDestinations, 2, true) })
	report.Note(Fact{Name: "heap: 100,000 destinations of two endpoints, each with a message delivered", Unit: "B", Value: whole, Limit: ControlBytes})

	out := Series{Name: "heap: messages out", XUnit: "messages held", YUnit: "B", TargetX: SenderRate * 0.29, Note: "without their bodies"}
	wait := Series{Name: "heap: messages waiting", XUnit: "messages held", YUnit: "B", TargetX: SenderRate * 0.29, Note: out.Note}
	keys := Series{Name: "heap: order keys at rest", XUnit: "keys", YUnit: "B", TargetX: 100_000, Note: "forgotten once their number has doubled"}
	for _, n := range []int{1000, 4000, 16_000, 32_000} {
		out.Points = append(out.Points, Point{float64(n), heapOf(func() *logic.Sender {
			b := newBench(t, fullSettings(), List(1000, 1, 6, 0))
			b.hold(n, 1000)
			return b.s
		})})
		wait.Points = append(wait.Points, Point{float64(n / 4), heapOf(func() *logic.Sender {
			b := newBench(t, waitSettings(), List(1000, 1, 6, crawl))
			b.hold(n/4, 1000)
			return b.s
		})})
		keys.Points = append(keys.Points, Point{float64(n), heapOf(func() *logic.Sender {
			b := newBench(t, fullSettings(), List(1000, 1, 6, 0))
			b.keys = true
			b.hold(n, 1000)
			b.step(b.deliver(len(b.sent))...)
			return b.s
		})})
	}
	report.Add(out)
	report.Add(wait)
	report.Add(keys)
}

// ---- The list -------------------------------------------------------------------------

// flip is one change to the list: an entry leaves, or comes back.
func flip(i int, list logic.ListUpdate) logic.ListUpdate {
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
	needLarge(t)
	fixed := map[string]float64{"endpoints_each": 2}
	one := Series{Name: "list: one change", XUnit: "entries", YUnit: "us", TargetX: TargetEntries, Fixed: fixed,
		Limit: ControlCore * 86400 / TargetChanges * 1e6, Note: "the limit is all that control may spend, for 1,400 a day"}
	allocated := Series{Name: "list: allocations for one change", XUnit: "entries", YUnit: "allocations", TargetX: TargetEntries, Fixed: fixed}
	whole := Series{Name: "list: a whole list that changes nothing", XUnit: "entries", YUnit: "ms", TargetX: TargetEntries, Fixed: fixed}
	start := Series{Name: "list: a start of the module from a saved list", XUnit: "entries", YUnit: "ms", TargetX: TargetEntries,
		Limit: 10_000, Fixed: fixed, Note: "the limit is the time until nine in ten restarted processes are ready"}
	for _, n := range listSizes {
		list := List(n/2, 2, 6, DestRate*2)
		b := newBench(t, fullSettings(), list)
		i := 0
		step := func() { b.step(flip(i, list)); i++ }
		one.Points = append(one.Points, Point{float64(n), cost(2000, step)})
		allocated.Points = append(allocated.Points, Point{float64(n), testing.AllocsPerRun(1000, step)})
		whole.Points = append(whole.Points, Point{float64(n), cost(1, func() { b.step(list) }) / 1000})
		saved := list
		saved.Form, saved.Stale = logic.ListCached, true
		start.Points = append(start.Points, Point{float64(n), cost(1, func() { newBench(t, fullSettings(), saved) }) / 1000})
	}
	for _, s := range []Series{one, allocated, whole, start} {
		report.Add(s)
	}
}

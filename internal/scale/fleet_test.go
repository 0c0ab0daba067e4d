package scale

import (
	"math"
	"runtime"
	"slices"
	"testing"

	"crossdeal/logic"
)

func newFleet(t testing.TB, cfg FleetConfig) *Fleet {
	t.Helper()
	f, err := NewFleet(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// smallFleet is a fleet with a bit of everything: limits with Retry-After, order keys, an outage of each kind and the
// returns from it.
func smallFleet(t testing.TB, seed uint64) *Fleet {
	f := newFleet(t, FleetConfig{Seed: seed, Settings: Settings(6), Senders: 6, Dests: 12, Each: 2, Rate: 15, Keys: 40,
		Limit: 11, RetryAfter: 300_000, Trace: true})
	for i, mode := range []Mode{Refusing, Hanging, Erring} {
		f.At(logic.Micros(8+i)*logic.Second, func() { f.Set(int64(i), mode) })
		f.At(logic.Micros(16+i)*logic.Second, func() { f.Set(int64(i), Serving) })
	}
	f.Run(40 * logic.Second)
	return f
}

// TestFleetIsDeterministic: the same seed gives the same digest and counts, another seed others.
func TestFleetIsDeterministic(t *testing.T) {
	a, b, c := smallFleet(t, 1), smallFleet(t, 1), smallFleet(t, 2)
	if a.Digest() != b.Digest() || a.Counts != b.Counts {
		t.Errorf("two runs of one seed differ: %x %+v, %x %+v", a.Digest(), a.Counts, b.Digest(), b.Counts)
	}
	if a.Digest() == c.Digest() {
		t.Error("two seeds give the same digest")
	}
}

// TestFleetHasAllThatItModels: a stand-in that never rejects or fails would make every bound below empty.
func TestFleetHasAllThatItModels(t *testing.T) {
	f := smallFleet(t, 3)
	if f.Delivered < f.Messages*8/10 {
		t.Errorf("%d of %d messages were delivered", f.Delivered, f.Messages)
	}
	if f.Rejected == 0 || f.Dead == 0 || f.Refused+f.Failed == 0 {
		t.Errorf("nothing rejected, dead or ended: %+v", f.Counts)
	}
	if sum := f.Delivered + f.Refused + f.Failed + f.Held; sum != f.Messages {
		t.Errorf("%d messages came, %d are accounted for: %+v", f.Messages, sum, f.Counts)
	}
	for dest := range int64(3) {
		if len(f.Out[dest]) == 0 {
			t.Errorf("no sender knew that destination %d was out", dest)
		}
		if len(f.Windows(dest, 11)) == 0 {
			t.Errorf("destination %d got no call after its return", dest)
		}
	}
	for dest := int64(3); dest < 12; dest++ { // a limit used up or one slow answer may look like it to one or two
		if n := len(f.Out[dest]); n > 3 {
			t.Errorf("%d of 6 senders took destination %d, which served, for out", n, dest)
		}
	}
}

func TestWindowsCountAgainstTheBudget(t *testing.T) {
	f := newFleet(t, FleetConfig{Settings: Settings(1), Senders: 1, Dests: 1})
	f.now = 100 * logic.Second
	f.Set(0, Refusing)
	f.Set(0, Serving)
	at := func(s float64) logic.Micros { return f.now + logic.Micros(s*float64(logic.Second)) }
	f.dests[0].seen = []logic.Micros{at(0.5), at(1), at(2.6), at(7), at(15)}
	w := f.Windows(0, 10)
	want := []int{1, 2, 2, 1} // the call at 0.5 s is out of the window that ends at 2.6 s; at 15 s it is warm
	if len(w) != len(want) {
		t.Fatalf("%d windows, want %d", len(w), len(want))
	}
	for i, n := range want {
		if w[i].Calls != n {
			t.Errorf("window %d has %d calls, want %d", i, w[i].Calls, n)
		}
	}
	// half warm: twice (0.2 + 0.8/2) of 10 a second, for two seconds
	if math.Abs(w[3].Budget-24) > 1e-9 {
		t.Errorf("budget half way is %v, want 24", w[3].Budget)
	}
}

// ---- Slow start ------------------------------------------------------------------------

// returns lets a fleet lose destinations for some time and come back cold, each with the traffic of a mean one, half of
// what it takes, and returns the worst window there.
func returns(t testing.TB, senders, dests int, seed uint64, outage logic.Micros) (worst Window, calls int) {
	const capacity = 2 * DestRate
	f := newFleet(t, FleetConfig{Seed: seed, Settings: Settings(senders), Senders: senders, Dests: dests,
		Rate: DestRate * float64(dests) / float64(senders), Limit: capacity, RetryAfter: 500_000})
	const down = 60 * logic.Second
	f.At(down, func() {
		for i := range dests {
			f.Set(int64(i), Refusing)
		}
	})
	f.At(down+outage, func() {
		for i := range dests {
			f.Set(int64(i), Serving)
		}
	})
	f.Run(down + outage + f.cfg.Settings.WarmAfter + logic.Second)
	worst.Budget = 1e9
	for i := range dests {
		for _, w := range f.Windows(int64(i), capacity) {
			calls++
			if w.Beyond() > worst.Beyond() {
				worst = w
			}
		}
	}
	return worst, calls
}

// TestScaleColdReturn measures what a destination that returns cold gets from the whole fleet in any window, against
// what it stands. The strict test of that is in logic/fleet_test.go.
func TestScaleColdReturn(t *testing.T) {
	needLarge(t)
	for _, outage := range []logic.Micros{20 * logic.Second, 120 * logic.Second} {
		beyond := Series{Name: "cold return: calls beyond the budget, part of chance", XUnit: "senders",
			YUnit: "of 2 root N + 2", TargetX: TargetSenders, Limit: 1, Note: "the worst window of 60 destinations; 11 events/s each, 22/s capacity",
			Fixed: map[string]float64{"outage_s": float64(outage / logic.Second)}}
		part := Series{Name: "cold return: calls over budget, the same window", XUnit: "senders", YUnit: "calls/budget",
			TargetX: TargetSenders, Fixed: beyond.Fixed}
		for _, senders := range []int{20, 30, 300, 540} {
			var worst Window
			worst.Budget = 1e9
			for seed := range uint64(3) {
				if w, _ := returns(t, senders, 20, seed+1, outage); w.Beyond() > worst.Beyond() {
					worst = w
				}
			}
			beyond.Points = append(beyond.Points, Point{float64(senders), worst.Beyond()})
			part.Points = append(part.Points, Point{float64(senders), float64(worst.Calls) / worst.Budget})
		}
		report.Add(beyond)
		report.Add(part)
	}
}

// ---- What is down ----------------------------------------------------------------------

// learning is what a fleet spends on destinations that go down, and how soon it knows, as medians over them.
type learning struct {
	dead      int     // destinations that went down
	minute    float64 // calls at one in its first minute down, all senders
	later     float64 // calls a second at one after that, all senders
	share     float64 // of all calls after the first minute, those at dead ones
	first     float64 // seconds until one sender knows
	half, all float64 // until half of the senders and until all know; 0 if that was not seen
	knew      float64 // share of the senders that knew at the end
}

const downFor = 240 // seconds

// learn lets a share of the destinations go down, every second one of them hanging, the others refusing.
func learn(t testing.TB, senders, dests int, share float64, seed uint64) (l learning) {
	f := newFleet(t, FleetConfig{Seed: seed, Settings: Settings(senders), Senders: senders, Dests: dests,
		Rate: SenderEach * float64(dests), Trace: true})
	l.dead = int(math.Round(share * float64(dests)))
	const down = 60 * logic.Second
	f.Run(down)
	for i := range l.dead {
		f.Set(int64(i), Mode(1+i%2))
	}
	f.Run(down + 60*logic.Second)
	minute := f.Counts
	f.Run(down + downFor*logic.Second)
	if l.dead == 0 {
		return l
	}
	l.minute = float64(minute.Dead) / float64(l.dead)
	l.later = float64(f.Dead-minute.Dead) / float64(l.dead) / (downFor - 60)
	l.share = float64(f.Dead-minute.Dead) / float64(f.Calls-minute.Calls)
	var first, half, all []float64
	for i := range l.dead {
		var at []float64
		for _, t := range f.Out[int64(i)] {
			at = append(at, float64(t-down)/float64(logic.Second))
		}
		l.knew += float64(len(at)) / float64(senders) / float64(l.dead)
		n := nth(at)
		if len(at) > 0 {
			first = append(first, n(0))
		}
		if len(at) >= (senders+1)/2 {
			half = append(half, n((senders-1)/2))
		}
		if len(at) == senders {
			all = append(all, n(senders-1))
		}
	}
	l.first = Median(first)
	if 2*len(half) > l.dead {
		l.half = Median(half)
	}
	if 2*len(all) > l.dead {
		l.all = Median(all)
	}
	return l
}

// TestScaleDown measures what is spent on destinations that are down, by the size of the fleet and by their share. Each
// sender has the traffic of the target for each destination, 0.02 events a second: what happens at one destination
// then does not depend on how many there are, and some hundreds stand for 100,000.
func TestScaleDown(t *testing.T) {
	needLarge(t)
	add := func(xUnit string, target float64, fixed map[string]float64, xs []float64, ls []learning) {
		for _, y := range []struct {
			name, unit string
			of         func(learning) float64
		}{
			{"calls in the first minute at one that went down, fleet", "calls", func(l learning) float64 { return l.minute }},
			{"calls a second at one after its first minute down, fleet", "calls/s", func(l learning) float64 { return l.later }},
			{"share of all calls spent on those down", "share", func(l learning) float64 { return l.share }},
			{"seconds until the first sender knows", "s", func(l learning) float64 { return l.first }},
			{"seconds until half of the senders know", "s", func(l learning) float64 { return l.half }},
			{"share of the senders that know after 240 s", "share", func(l learning) float64 { return l.knew }},
		} {
			s := Series{Name: "down: " + y.name, XUnit: xUnit, YUnit: y.unit, TargetX: target, Fixed: fixed,
				Note: "0 s: not seen within 240 s"}
			if y.unit != "s" {
				s.Note = ""
			}
			for i, l := range ls {
				s.Points = append(s.Points, Point{xs[i], y.of(l)})
			}
			report.Add(s)
		}
	}
	var xs []float64
	var ls []learning
	for _, x := range []struct{ senders, dests int }{{20, 2000}, {60, 1200}, {180, 600}, {540, 300}} {
		xs, ls = append(xs, float64(x.senders)), append(ls, learn(t, x.senders, x.dests, TargetDown, 1))
	}
	add("senders", TargetSenders, map[string]float64{"share_down": TargetDown, "rate_each": SenderEach}, xs, ls)
	xs, ls = nil, nil
	for _, share := range []float64{0, TargetDown, 0.05, 0.1, 0.2} {
		xs, ls = append(xs, share), append(ls, learn(t, 60, 600, share, 1))
	}
	add("share down", TargetDown, map[string]float64{"senders": 60, "rate_each": SenderEach}, xs, ls)
}

// ---- One sender at the target's rate ---------------------------------------------------------

// load is what one sender does and costs in a steady state, for a second of its time.
type load struct {
	core          float64 // of a core, its steps alone
	process       float64 // of a core, the same with the garbage collector and with what drives it here
	step, message float64 // microseconds of its steps: for one, and for a message
	steps         float64 // a second
	held, flying  float64 // messages held and calls out, the mean of ten looks
	dead          float64 // share of the calls
}

// atRate runs one sender of 540 until it is in a steady state and then measures it for some seconds.
func atRate(t testing.TB, rate float64, dests, each int, down float64, warm, span logic.Micros) (l load) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	f := newFleet(t, FleetConfig{Seed: 1, Settings: Settings(TargetSenders), Senders: 1, Dests: dests, Each: each, Rate: rate,
		Keys: 10_000, Measure: true})
	for i := range int(math.Round(down * float64(dests))) {
		f.Set(int64(i), Mode(1+i%2))
	}
	f.Run(warm)
	from, cpu := f.Counts, CPUTime()
	for i := range logic.Micros(10) {
		f.Run(warm + span*(i+1)/10)
		l.held += float64(f.Held) / 10
		l.flying += float64(f.Flying) / 10
	}
	s := float64(span) / float64(logic.Second)
	l.process = (CPUTime() - cpu).Seconds() / s
	took := f.StepTime - from.StepTime
	l.core = took.Seconds() / s
	l.step = took.Seconds() * 1e6 / float64(f.Steps-from.Steps)
	l.message = took.Seconds() * 1e6 / float64(f.Messages-from.Messages)
	l.steps = float64(f.Steps-from.Steps) / s
	l.dead = float64(f.Dead-from.Dead) / float64(f.Calls-from.Calls)
	return l
}

// TestScaleRate measures one sender against the messages that come in a second, with all 100,000 destinations listed.
func TestScaleRate(t *testing.T) {
	needLarge(t)
	rates := []float64{500, 1000, SenderRate, SenderRateZone, SenderRateRegion}
	for _, down := range []float64{0, TargetDown} {
		fixed := map[string]float64{"destinations": TargetDestinations, "share_down": down}
		core := Series{Name: "one sender: steps, share of a core", XUnit: "events/s", YUnit: "cores", TargetX: SenderRateRegion,
			Limit: 1, Fixed: fixed, Note: "one goroutine decides: beyond one core it falls behind. Target: a region is lost"}
		process := Series{Name: "one sender: steps, collector and driver, share of a core", XUnit: "events/s", YUnit: "cores",
			TargetX: SenderRateRegion, Fixed: fixed}
		step := Series{Name: "one sender: a step", XUnit: "events/s", YUnit: "us", TargetX: SenderRate, Fixed: fixed}
		message := Series{Name: "one sender: all steps for a message", XUnit: "events/s", YUnit: "us", TargetX: SenderRate, Fixed: fixed}
		held := Series{Name: "one sender: messages held", XUnit: "events/s", YUnit: "messages", TargetX: SenderRate,
			Limit: float64(Settings(TargetSenders).MaxOpen), Fixed: fixed}
		flying := Series{Name: "one sender: calls out", XUnit: "events/s", YUnit: "calls", TargetX: SenderRate,
			Limit: float64(Settings(TargetSenders).Slots), Fixed: fixed}
		for _, rate := range rates {
			l := atRate(t, rate, TargetDestinations, 1, down, 15*logic.Second, 10*logic.Second)
			for s, y := range map[*Series]float64{&core: l.core, &process: l.process, &step: l.step, &message: l.message,
				&held: l.held, &flying: l.flying} {
				s.Points = append(s.Points, Point{rate, y})
			}
		}
		for _, s := range []Series{core, process, step, message, held, flying} {
			report.Add(s)
		}
	}
}

// TestScaleDestinations measures one sender at the target's rate against the destinations listed.
func TestScaleDestinations(t *testing.T) {
	needLarge(t)
	for _, each := range []int{1, 2} {
		fixed := map[string]float64{"events_per_s": SenderRate, "endpoints_each": float64(each), "share_down": TargetDown}
		core := Series{Name: "destinations: steps, share of a core", XUnit: "destinations", YUnit: "cores", TargetX: TargetDestinations,
			Limit: 1, Fixed: fixed}
		held := Series{Name: "destinations: messages held", XUnit: "destinations", YUnit: "messages", TargetX: TargetDestinations,
			Fixed: fixed}
		dead := Series{Name: "destinations: share of calls at those down, one sender", XUnit: "destinations", YUnit: "share",
			TargetX: TargetDestinations, Fixed: fixed}
		for _, dests := range []int{1000, 5000, 20_000, 100_000} {
			l := atRate(t, SenderRate, dests, each, TargetDown, 15*logic.Second, 10*logic.Second)
			core.Points = append(core.Points, Point{float64(dests), l.core})
			held.Points = append(held.Points, Point{float64(dests), l.held})
			dead.Points = append(dead.Points, Point{float64(dests), l.dead})
		}
		report.Add(core)
		report.Add(held)
		report.Add(dead)
	}
}

// TestScaleDownShare measures one sender at the target's rate against the share of its destinations that is down.
func TestScaleDownShare(t *testing.T) {
	needLarge(t)
	fixed := map[string]float64{"events_per_s": SenderRate, "destinations": TargetDestinations}
	core := Series{Name: "share down: steps, share of a core", XUnit: "share down", YUnit: "cores", TargetX: TargetDown, Limit: 1, Fixed: fixed}
	held := Series{Name: "share down: messages held", XUnit: "share down", YUnit: "messages", TargetX: TargetDown, Fixed: fixed}
	flying := Series{Name: "share down: calls out", XUnit: "share down", YUnit: "calls", TargetX: TargetDown, Fixed: fixed}
	dead := Series{Name: "share down: share of calls at those down, one sender", XUnit: "share down", YUnit: "share", TargetX: TargetDown, Fixed: fixed}
	for _, down := range []float64{0, TargetDown, 0.05, 0.2} {
		l := atRate(t, SenderRate, TargetDestinations, 1, down, 15*logic.Second, 5*logic.Second)
		core.Points = append(core.Points, Point{down, l.core})
		held.Points = append(held.Points, Point{down, l.held})
		flying.Points = append(flying.Points, Point{down, l.flying})
		dead.Points = append(dead.Points, Point{down, l.dead})
	}
	for _, s := range []Series{core, held, flying, dead} {
		report.Add(s)
	}
}

// nth returns a function that gives the i-th smallest of the figures.
func nth(v []float64) func(i int) float64 {
	v = slices.Sorted(slices.Values(v))
	return func(i int) float64 { return v[i] }
}

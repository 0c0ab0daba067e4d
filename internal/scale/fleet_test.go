package scale

import (
	"math"
	"runtime"
	"slices"
	"sync"
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

// sideBySide calls do with 0 to n-1, as many at once as there are cores. Fleets share nothing.
func sideBySide(n int, do func(i int)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			do(i)
		})
	}
	wait.Wait()
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
	for _, outage := range []logic.Micros{20 * logic.Second, 60 * logic.Second} {
		beyond := Series{Name: "cold return: calls beyond the budget, part of chance", XUnit: "senders",
			YUnit: "of 2 root N + 2", TargetX: TargetSenders, Limit: 1, Note: "the worst window of 60 destinations; 11 events/s each, 22/s capacity",
			Fixed: map[string]float64{"outage_s": float64(outage / logic.Second)}}
		part := Series{Name: "cold return: calls over budget, the same window", XUnit: "senders", YUnit: "calls/budget",
			TargetX: TargetSenders, Fixed: beyond.Fixed}
		fleets, worsts := []int{20, 30, 300, 540}, [12]Window{}
		sideBySide(len(worsts), func(i int) { worsts[i], _ = returns(t, fleets[i/3], 20, uint64(i%3)+1, outage) })
		for i, senders := range fleets {
			worst := worsts[3*i]
			for _, w := range worsts[3*i+1 : 3*i+3] {
				if w.Beyond() > worst.Beyond() {
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
	dead       int     // destinations that went down
	minute     float64 // calls at one in its first minute down, all senders
	later      float64 // calls a second at one after that, all senders
	share      float64 // of all calls after the first minute, those at dead ones
	first      float64 // seconds until one sender knows
	half, most float64 // until half and until nine in ten know; 0 if that was not seen at half of those down
	all        float64 // the same for all
	knew       float64 // share of the senders that knew at the end
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
	var at [][]float64
	for i := range l.dead {
		var times []float64
		for _, t := range f.Out[int64(i)] {
			times = append(times, float64(t-down)/float64(logic.Second))
		}
		slices.Sort(times)
		at = append(at, times)
		l.knew += float64(len(times)) / float64(senders) / float64(l.dead)
	}
	until := func(n int) float64 { // n senders know, the median over those down
		var v []float64
		for _, times := range at {
			if len(times) >= n {
				v = append(v, times[n-1])
			}
		}
		if 2*len(v) <= l.dead {
			return 0
		}
		return Median(v)
	}
	l.first, l.half, l.most, l.all = until(1), until((senders+1)/2), until((senders*9+9)/10), until(senders)
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
			{"seconds until nine in ten senders know", "s", func(l learning) float64 { return l.most }},
			{"seconds until all senders know", "s", func(l learning) float64 { return l.all }},
			{"share of the senders that know after 240 s", "share", func(l learning) float64 { return l.knew }},
		} {
			s := Series{Name: "down: " + y.name, XUnit: xUnit, YUnit: y.unit, TargetX: target, Fixed: fixed,
				Note: "medians over those down; 0.02 events a second at each sender for each destination"}
			unseen := false
			for i, l := range ls {
				if v := y.of(l); v > 0 || y.unit != "s" {
					s.Points = append(s.Points, Point{xs[i], v})
				} else if l.dead > 0 {
					unseen = true
				}
			}
			if unseen {
				s.Note += "; sizes that are missing: not within 240 s at half of them"
			}
			report.Add(s)
		}
	}
	fleets, dests := []float64{20, 60, 180, 540}, []int{2000, 1200, 600, 300}
	shares := []float64{0, TargetDown, 0.05, 0.1, 0.2}
	byFleet, byShare := make([]learning, len(fleets)), make([]learning, len(shares))
	sideBySide(len(fleets)+len(shares), func(i int) {
		if i < len(fleets) {
			byFleet[i] = learn(t, int(fleets[i]), dests[i], TargetDown, 1)
		} else {
			byShare[i-len(fleets)] = learn(t, 60, 600, shares[i-len(fleets)], 1)
		}
	})
	add("senders", TargetSenders, map[string]float64{"share_down": TargetDown, "rate_each": SenderEach}, fleets, byFleet)
	add("share down", TargetDown, map[string]float64{"senders": 60, "rate_each": SenderEach}, shares, byShare)
}

// ---- Cut off and back ---------------------------------------------------------------------

// cut is what a fleet does while a part of its destinations can't be reached for a minute, and after.
type cut struct {
	second, minute float64 // calls at them for a message that came for them, in the first second and the first minute
	ended          float64 // share of the messages for them that ended undelivered within the minute
	back           float64 // calls at them in the first second after their return, for a message that came for them
	lost           float64 // messages that ended undelivered in the 240 s after the return, in seconds of the traffic
	whole          float64 // seconds after the return until under 5% of the messages end undelivered, in steps of 10
}

// cutOff lets a share of the destinations hang for a minute, and come back cold all at once. Each has the traffic of a
// mean one at the target, 11 events a second, and takes twice that, whatever the number of senders.
func cutOff(t testing.TB, senders, dests int, share float64) (c cut) {
	rate := DestRate * float64(dests) / float64(senders)
	f := newFleet(t, FleetConfig{Seed: 1, Settings: Settings(senders), Senders: senders, Dests: dests, Rate: rate,
		Limit: 2 * DestRate, RetryAfter: 500_000})
	n := max(int(math.Round(share*float64(dests))), 1)
	set := func(mode Mode) {
		for i := range n {
			f.Set(int64(i), mode)
		}
	}
	ended := func() (sum float64) {
		for _, d := range f.dests[:n] {
			sum += float64(d.ended)
		}
		return sum
	}
	const s = logic.Second
	came := DestRate * float64(n) // a second, for them
	f.Run(60 * s)
	before := ended()
	set(Hanging)
	f.Run(61 * s)
	c.second = float64(f.Dead) / came
	f.Run(120 * s)
	c.minute = float64(f.Dead) / came / 60
	last := ended()
	c.ended = (last - before) / came / 60
	before = last
	set(Serving)
	f.Run(121 * s)
	for _, d := range f.dests[:n] {
		c.back += float64(len(d.seen)) / came
	}
	for i := 10; i <= backFor; i += 10 {
		f.Run(logic.Micros(120+i) * s)
		if now := ended(); now-last > 0.05*came*10 {
			c.whole, last = float64(i), now
		} else {
			last = now
		}
	}
	c.lost = (last - before) / came
	return c
}

const backFor = 240 // seconds that are looked at after a return

// TestScaleCut measures a rack, a zone and a region of destinations that can't be reached for a minute, and the return
// of a part of them by the number of senders that share their traffic.
func TestScaleCut(t *testing.T) {
	needLarge(t)
	shares, fleets := []float64{1.0 / 60, 1.0 / 12, 1.0 / 6, 1.0 / 2}, []float64{20, 60, 180, 540}
	cuts, returned := make([]cut, len(shares)), make([]cut, len(fleets))
	const dests = 60
	sideBySide(len(cuts)+len(returned), func(i int) {
		if i < len(cuts) {
			cuts[i] = cutOff(t, TargetSenders, dests, shares[i])
		} else {
			returned[i-len(cuts)] = cutOff(t, int(fleets[i-len(cuts)]), dests, 1.0/6)
		}
	})
	add := func(xUnit string, target float64, fixed map[string]float64, xs []float64, cs []cut) {
		for _, y := range []struct {
			name, unit string
			of         func(cut) float64
		}{
			{"calls for a message, first second", "calls", func(c cut) float64 { return c.second }},
			{"calls for a message, first minute", "calls", func(c cut) float64 { return c.minute }},
			{"share of their messages that end in the minute", "share", func(c cut) float64 { return c.ended }},
			{"calls for a message, first second after", "calls", func(c cut) float64 { return c.back }},
			{"messages that end after it, in seconds of traffic", "s", func(c cut) float64 { return c.lost }},
			{"seconds after it until under 5% end", "s", func(c cut) float64 { return c.whole }},
		} {
			s := Series{Name: "a minute's cut: " + y.name, XUnit: xUnit, YUnit: y.unit, TargetX: target, Fixed: fixed,
				Note: "they hang, then return cold at once, warm after 14 s; 11 events/s at each, 22/s capacity"}
			for i, c := range cs {
				s.Points = append(s.Points, Point{xs[i], y.of(c)})
			}
			report.Add(s)
		}
	}
	add("share of destinations", 0.5, map[string]float64{"senders": TargetSenders, "destinations": dests}, shares, cuts)
	add("senders", TargetSenders, map[string]float64{"share_cut": 1.0 / 6, "destinations": dests}, fleets, returned)
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
	const zone = 1.0 / 6
	fixed := map[string]float64{"events_per_s": SenderRate, "destinations": TargetDestinations}
	core := Series{Name: "share down: steps, share of a core", XUnit: "share down", YUnit: "cores", TargetX: zone, Limit: 1, Fixed: fixed,
		Note: "target: a zone of destinations is lost. Over one core the real sender falls behind, which virtual time does not show"}
	held := Series{Name: "share down: messages held", XUnit: "share down", YUnit: "messages", TargetX: zone, Fixed: fixed}
	flying := Series{Name: "share down: calls out", XUnit: "share down", YUnit: "calls", TargetX: zone, Fixed: fixed}
	dead := Series{Name: "share down: share of calls at those down, one sender", XUnit: "share down", YUnit: "share", TargetX: zone, Fixed: fixed}
	for _, down := range []float64{0, TargetDown, 0.05, zone, 0.2} {
		l := atRate(t, SenderRate, TargetDestinations, 1, down, 12*logic.Second, 2*logic.Second)
		core.Points = append(core.Points, Point{down, l.core})
		held.Points = append(held.Points, Point{down, l.held})
		flying.Points = append(flying.Points, Point{down, l.flying})
		dead.Points = append(dead.Points, Point{down, l.dead})
	}
	for _, s := range []Series{core, held, flying, dead} {
		report.Add(s)
	}
}

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
	f := newFleet(t, FleetConfig{Seed: seed, Settings: Settings(6), Senders: 6, Destinations: 12, EndpointsEach: 2, MessageRate: 15, OrderKeys: 40,
		RateLimit: 11, RetryAfter: 300_000, TraceEjections: true})
	for i, mode := range []Mode{Refusing, Hanging, Erring} {
		f.ScheduleAt(logic.Micros(8+i)*logic.Second, func() { f.SetMode(int64(i), mode) })
		f.ScheduleAt(logic.Micros(16+i)*logic.Second, func() { f.SetMode(int64(i), Serving) })
	}
	f.RunUntil(40 * logic.Second)
	return f
}

// runParallel calls do with 0 to n-1, as many at once as there are cores. Fleets share nothing.
func runParallel(n int, do func(i int)) {
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

// TestFleetCoversWhatItModels: a stand-in that never rejects or fails would make every bound below empty.
func TestFleetCoversWhatItModels(t *testing.T) {
	f := smallFleet(t, 3)
	if f.Delivered < f.Messages*8/10 {
		t.Errorf("%d of %d messages were delivered", f.Delivered, f.Messages)
	}
	if f.Rejected == 0 || f.CallsToDown == 0 || f.Refused+f.Failed == 0 {
		t.Errorf("nothing rejected, dead or ended: %+v", f.Counts)
	}
	if sum := f.Delivered + f.Refused + f.Failed + f.Held; sum != f.Messages {
		t.Errorf("%d messages came, %d are accounted for: %+v", f.Messages, sum, f.Counts)
	}
	for dest := range int64(3) {
		if len(f.EjectedAt[dest]) == 0 {
			t.Errorf("no sender knew that destination %d was out", dest)
		}
		if len(f.RecoveryWindows(dest, 11)) == 0 {
			t.Errorf("destination %d got no call after its return", dest)
		}
	}
	for dest := int64(3); dest < 12; dest++ { // a limit used up or one slow answer may look like it to one or two
		if n := len(f.EjectedAt[dest]); n > 3 {
			t.Errorf("%d of 6 senders took destination %d, which served, for out", n, dest)
		}
	}
}

func TestRecoveryWindows(t *testing.T) {
	f := newFleet(t, FleetConfig{Settings: Settings(1), Senders: 1, Destinations: 1})
	f.now = 100 * logic.Second
	f.SetMode(0, Refusing)
	f.SetMode(0, Serving)
	at := func(s float64) logic.Micros { return f.now + logic.Micros(s*float64(logic.Second)) }
	f.destinations[0].callsSinceReturn = []logic.Micros{at(0.5), at(1), at(2.6), at(7), at(15)}
	w := f.RecoveryWindows(0, 10)
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

// simulateRecovery lets a fleet lose destinations for some time and come back cold, each with the traffic of a mean one, half of
// what it takes, and returns the worst window there.
func simulateRecovery(t testing.TB, senders, dests int, seed uint64, outage logic.Micros) (worst RecoveryWindow, calls int) {
	const capacity = 2 * DestinationRate
	f := newFleet(t, FleetConfig{Seed: seed, Settings: Settings(senders), Senders: senders, Destinations: dests,
		MessageRate: DestinationRate * float64(dests) / float64(senders), RateLimit: capacity, RetryAfter: 500_000})
	const down = 60 * logic.Second
	f.ScheduleAt(down, func() {
		for i := range dests {
			f.SetMode(int64(i), Refusing)
		}
	})
	f.ScheduleAt(down+outage, func() {
		for i := range dests {
			f.SetMode(int64(i), Serving)
		}
	})
	f.RunUntil(down + outage + f.cfg.Settings.WarmAfter + logic.Second)
	worst.Budget = 1e9
	for i := range dests {
		for _, w := range f.RecoveryWindows(int64(i), capacity) {
			calls++
			if w.Excess() > worst.Excess() {
				worst = w
			}
		}
	}
	return worst, calls
}

// TestScaleRecovery measures what a destination that returns cold gets from the whole fleet in any window, against
// what it stands. The strict test of that is in logic/fleet_test.go.
func TestScaleRecovery(t *testing.T) {
	skipUnlessLarge(t)
	for _, outage := range []logic.Micros{20 * logic.Second, 60 * logic.Second} {
		beyond := Series{Name: "cold return: calls beyond the budget, part of chance", XUnit: "senders",
			YUnit: "of 2 root N + 2", TargetX: TargetSenders, Limit: 1, Note: "the worst window of 60 destinations; 11 events/s each, 22/s capacity",
			Fixed: map[string]float64{"outage_s": float64(outage / logic.Second)}}
		part := Series{Name: "cold return: calls over budget, the same window", XUnit: "senders", YUnit: "calls/budget",
			TargetX: TargetSenders, Fixed: beyond.Fixed}
		fleets, worsts := []int{20, 30, 300, 540}, [12]RecoveryWindow{}
		runParallel(len(worsts), func(i int) { worsts[i], _ = simulateRecovery(t, fleets[i/3], 20, uint64(i%3)+1, outage) })
		for i, senders := range fleets {
			worst := worsts[3*i]
			for _, w := range worsts[3*i+1 : 3*i+3] {
				if w.Excess() > worst.Excess() {
					worst = w
				}
			}
			beyond.Points = append(beyond.Points, Point{float64(senders), worst.Excess()})
			part.Points = append(part.Points, Point{float64(senders), float64(worst.Calls) / worst.Budget})
		}
		report.AddSeries(beyond)
		report.AddSeries(part)
	}
}

// ---- What is down ----------------------------------------------------------------------

// outageResult is what a fleet spends on destinations that go down, and how soon it knows, as medians over them.
type outageResult struct {
	downDestinations             int     // destinations that went down
	firstMinuteCalls             float64 // calls at one in its first minute down, all senders
	laterCallRate                float64 // calls a second at one after that, all senders
	downCallShare                float64 // of all calls after the first minute, those at dead ones
	firstKnowsAfter              float64 // seconds until one sender knows
	halfKnowAfter, mostKnowAfter float64 // until half and until nine in ten know; 0 if that was not seen at half of those down
	allKnowAfter                 float64 // the same for all
	knowingShare                 float64 // share of the senders that knew at the end
}

const outageSeconds = 240 // seconds

// simulateOutage lets a share of the destinations go down, every second one of them hanging, the others refusing.
func simulateOutage(t testing.TB, senders, dests int, share float64, seed uint64) (l outageResult) {
	f := newFleet(t, FleetConfig{Seed: seed, Settings: Settings(senders), Senders: senders, Destinations: dests,
		MessageRate: SenderDestinationRate * float64(dests), TraceEjections: true})
	l.downDestinations = int(math.Round(share * float64(dests)))
	const down = 60 * logic.Second
	f.RunUntil(down)
	for i := range l.downDestinations {
		f.SetMode(int64(i), Mode(1+i%2))
	}
	f.RunUntil(down + 60*logic.Second)
	minute := f.Counts
	f.RunUntil(down + outageSeconds*logic.Second)
	if l.downDestinations == 0 {
		return l
	}
	l.firstMinuteCalls = float64(minute.CallsToDown) / float64(l.downDestinations)
	l.laterCallRate = float64(f.CallsToDown-minute.CallsToDown) / float64(l.downDestinations) / (outageSeconds - 60)
	l.downCallShare = float64(f.CallsToDown-minute.CallsToDown) / float64(f.Calls-minute.Calls)
	var at [][]float64
	for i := range l.downDestinations {
		var times []float64
		for _, t := range f.EjectedAt[int64(i)] {
			times = append(times, float64(t-down)/float64(logic.Second))
		}
		slices.Sort(times)
		at = append(at, times)
		l.knowingShare += float64(len(times)) / float64(senders) / float64(l.downDestinations)
	}
	until := func(n int) float64 { // n senders know, the median over those down
		var v []float64
		for _, times := range at {
			if len(times) >= n {
				v = append(v, times[n-1])
			}
		}
		if 2*len(v) <= l.downDestinations {
			return 0
		}
		return Median(v)
	}
	l.firstKnowsAfter, l.halfKnowAfter, l.mostKnowAfter, l.allKnowAfter = until(1), until((senders+1)/2), until((senders*9+9)/10), until(senders)
	return l
}

// TestScaleDown measures what is spent on destinations that are down, by the size of the fleet and by their share. Each
// sender has the traffic of the target for each destination, 0.02 events a second: what happens at one destination
// then does not depend on how many there are, and some hundreds stand for 100,000.
func TestScaleDown(t *testing.T) {
	skipUnlessLarge(t)
	add := func(xUnit string, target float64, fixed map[string]float64, xs []float64, ls []outageResult) {
		for _, y := range []struct {
			name, unit string
			of         func(outageResult) float64
		}{
			{"calls in the first minute at one that went down, fleet", "calls", func(l outageResult) float64 { return l.firstMinuteCalls }},
			{"calls a second at one after its first minute down, fleet", "calls/s", func(l outageResult) float64 { return l.laterCallRate }},
			{"share of all calls spent on those down", "share", func(l outageResult) float64 { return l.downCallShare }},
			{"seconds until the first sender knows", "s", func(l outageResult) float64 { return l.firstKnowsAfter }},
			{"seconds until half of the senders know", "s", func(l outageResult) float64 { return l.halfKnowAfter }},
			{"seconds until nine in ten senders know", "s", func(l outageResult) float64 { return l.mostKnowAfter }},
			{"seconds until all senders know", "s", func(l outageResult) float64 { return l.allKnowAfter }},
			{"share of the senders that know after 240 s", "share", func(l outageResult) float64 { return l.knowingShare }},
		} {
			s := Series{Name: "down: " + y.name, XUnit: xUnit, YUnit: y.unit, TargetX: target, Fixed: fixed,
				Note: "medians over those down; 0.02 events a second at each sender for each destination"}
			unseen := false
			for i, l := range ls {
				if v := y.of(l); v > 0 || y.unit != "s" {
					s.Points = append(s.Points, Point{xs[i], v})
				} else if l.downDestinations > 0 {
					unseen = true
				}
			}
			if unseen {
				s.Note += "; sizes that are missing: not within 240 s at half of them"
			}
			report.AddSeries(s)
		}
	}
	fleets, dests := []float64{20, 60, 180, 540}, []int{2000, 1200, 600, 300}
	shares := []float64{0, TargetDownShare, 0.05, 0.1, 0.2}
	byFleet, byShare := make([]outageResult, len(fleets)), make([]outageResult, len(shares))
	runParallel(len(fleets)+len(shares), func(i int) {
		if i < len(fleets) {
			byFleet[i] = simulateOutage(t, int(fleets[i]), dests[i], TargetDownShare, 1)
		} else {
			byShare[i-len(fleets)] = simulateOutage(t, 60, 600, shares[i-len(fleets)], 1)
		}
	})
	add("senders", TargetSenders, map[string]float64{"share_down": TargetDownShare, "rate_each": SenderDestinationRate}, fleets, byFleet)
	add("share down", TargetDownShare, map[string]float64{"senders": 60, "rate_each": SenderDestinationRate}, shares, byShare)
}

// ---- Cut off and back ---------------------------------------------------------------------

// unreachableResult is what a fleet does while a part of its destinations can't be reached for a minute, and after.
type unreachableResult struct {
	firstSecondCalls, firstMinuteCalls float64 // calls at them for a message that came for them, in the first second and the first minute
	endedShare                         float64 // share of the messages for them that ended undelivered within the minute
	returnCalls                        float64 // calls at them in the first second after their return, for a message that came for them
	lostSeconds                        float64 // messages that ended undelivered in the 240 s after the return, in seconds of the traffic
	healthyAfter                       float64 // seconds after the return until under 5% of the messages end undelivered, in steps of 10
}

// simulateUnreachable lets a share of the destinations hang for a minute, and come back cold all at once. Each has the traffic of a
// mean one at the target, 11 events a second, and takes twice that, whatever the number of senders.
func simulateUnreachable(t testing.TB, senders, dests int, share float64) (c unreachableResult) {
	rate := DestinationRate * float64(dests) / float64(senders)
	f := newFleet(t, FleetConfig{Seed: 1, Settings: Settings(senders), Senders: senders, Destinations: dests, MessageRate: rate,
		RateLimit: 2 * DestinationRate, RetryAfter: 500_000})
	n := max(int(math.Round(share*float64(dests))), 1)
	set := func(mode Mode) {
		for i := range n {
			f.SetMode(int64(i), mode)
		}
	}
	ended := func() (sum float64) {
		for _, d := range f.destinations[:n] {
			sum += float64(d.messagesEnded)
		}
		return sum
	}
	const s = logic.Second
	came := DestinationRate * float64(n) // a second, for them
	f.RunUntil(60 * s)
	before := ended()
	set(Hanging)
	f.RunUntil(61 * s)
	c.firstSecondCalls = float64(f.CallsToDown) / came
	f.RunUntil(120 * s)
	c.firstMinuteCalls = float64(f.CallsToDown) / came / 60
	last := ended()
	c.endedShare = (last - before) / came / 60
	before = last
	set(Serving)
	f.RunUntil(121 * s)
	for _, d := range f.destinations[:n] {
		c.returnCalls += float64(len(d.callsSinceReturn)) / came
	}
	for i := 10; i <= afterReturnSeconds; i += 10 {
		f.RunUntil(logic.Micros(120+i) * s)
		if now := ended(); now-last > 0.05*came*10 {
			c.healthyAfter, last = float64(i), now
		} else {
			last = now
		}
	}
	c.lostSeconds = (last - before) / came
	return c
}

const afterReturnSeconds = 240 // seconds that are looked at after a return

// TestScaleUnreachable measures a rack, a zone and a region of destinations that can't be reached for a minute, and the return
// of a part of them by the number of senders that share their traffic.
func TestScaleUnreachable(t *testing.T) {
	skipUnlessLarge(t)
	shares, fleets := []float64{1.0 / 60, 1.0 / 12, 1.0 / 6, 1.0 / 2}, []float64{20, 60, 180, 540}
	cuts, returned := make([]unreachableResult, len(shares)), make([]unreachableResult, len(fleets))
	const dests = 60
	runParallel(len(cuts)+len(returned), func(i int) {
		if i < len(cuts) {
			cuts[i] = simulateUnreachable(t, TargetSenders, dests, shares[i])
		} else {
			returned[i-len(cuts)] = simulateUnreachable(t, int(fleets[i-len(cuts)]), dests, 1.0/6)
		}
	})
	add := func(xUnit string, target float64, fixed map[string]float64, xs []float64, cs []unreachableResult) {
		for _, y := range []struct {
			name, unit string
			of         func(unreachableResult) float64
		}{
			{"calls for a message, first second", "calls", func(c unreachableResult) float64 { return c.firstSecondCalls }},
			{"calls for a message, first minute", "calls", func(c unreachableResult) float64 { return c.firstMinuteCalls }},
			{"share of their messages that end in the minute", "share", func(c unreachableResult) float64 { return c.endedShare }},
			{"calls for a message, first second after", "calls", func(c unreachableResult) float64 { return c.returnCalls }},
			{"messages that end after it, in seconds of traffic", "s", func(c unreachableResult) float64 { return c.lostSeconds }},
			{"seconds after it until under 5% end", "s", func(c unreachableResult) float64 { return c.healthyAfter }},
		} {
			s := Series{Name: "a minute's cut: " + y.name, XUnit: xUnit, YUnit: y.unit, TargetX: target, Fixed: fixed,
				Note: "they hang, then return cold at once, warm after 14 s; 11 events/s at each, 22/s capacity"}
			for i, c := range cs {
				s.Points = append(s.Points, Point{xs[i], y.of(c)})
			}
			report.AddSeries(s)
		}
	}
	add("share of destinations", 0.5, map[string]float64{"senders": TargetSenders, "destinations": dests}, shares, cuts)
	add("senders", TargetSenders, map[string]float64{"share_cut": 1.0 / 6, "destinations": dests}, fleets, returned)
}

// ---- One sender at the target's rate ---------------------------------------------------------

// senderLoad is what one sender does and costs in a steady state, for a second of its time.
type senderLoad struct {
	stepCores                 float64 // of a core, its steps alone
	processCores              float64 // of a core, the same with the garbage collector and with what drives it here
	stepMicros, messageMicros float64 // microseconds of its steps: for one, and for a message
	stepRate                  float64 // a second
	held, inFlight            float64 // messages held and calls out, the mean of ten looks
	downCallShare             float64 // share of the calls
}

// measureAtRate runs one sender of 540 until it is in a steady state and then measures it for some seconds.
func measureAtRate(t testing.TB, rate float64, dests, each int, down float64, warm, span logic.Micros) (l senderLoad) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	f := newFleet(t, FleetConfig{Seed: 1, Settings: Settings(TargetSenders), Senders: 1, Destinations: dests, EndpointsEach: each, MessageRate: rate,
		OrderKeys: 10_000, MeasureStepTime: true})
	for i := range int(math.Round(down * float64(dests))) {
		f.SetMode(int64(i), Mode(1+i%2))
	}
	f.RunUntil(warm)
	from, cpu := f.Counts, CPUTime()
	for i := range logic.Micros(10) {
		f.RunUntil(warm + span*(i+1)/10)
		l.held += float64(f.Held) / 10
		l.inFlight += float64(f.InFlight) / 10
	}
	s := float64(span) / float64(logic.Second)
	l.processCores = (CPUTime() - cpu).Seconds() / s
	took := f.StepTime - from.StepTime
	l.stepCores = took.Seconds() / s
	l.stepMicros = took.Seconds() * 1e6 / float64(f.Steps-from.Steps)
	l.messageMicros = took.Seconds() * 1e6 / float64(f.Messages-from.Messages)
	l.stepRate = float64(f.Steps-from.Steps) / s
	l.downCallShare = float64(f.CallsToDown-from.CallsToDown) / float64(f.Calls-from.Calls)
	return l
}

// TestScaleRate measures one sender against the messages that come in a second, with all 100,000 destinations listed.
func TestScaleRate(t *testing.T) {
	skipUnlessLarge(t)
	rates := []float64{500, 1000, SenderRate, SenderRateZoneLost, SenderRateRegionLost}
	for _, down := range []float64{0, TargetDownShare} {
		fixed := map[string]float64{"destinations": TargetDestinations, "share_down": down}
		core := Series{Name: "one sender: steps, share of a core", XUnit: "events/s", YUnit: "cores", TargetX: SenderRateRegionLost,
			Limit: 1, Fixed: fixed, Note: "one goroutine decides: beyond one core it falls behind. Target: a region is lost"}
		process := Series{Name: "one sender: steps, collector and driver, share of a core", XUnit: "events/s", YUnit: "cores",
			TargetX: SenderRateRegionLost, Fixed: fixed}
		step := Series{Name: "one sender: a step", XUnit: "events/s", YUnit: "us", TargetX: SenderRate, Fixed: fixed}
		message := Series{Name: "one sender: all steps for a message", XUnit: "events/s", YUnit: "us", TargetX: SenderRate, Fixed: fixed}
		held := Series{Name: "one sender: messages held", XUnit: "events/s", YUnit: "messages", TargetX: SenderRate,
			Limit: float64(Settings(TargetSenders).MaxOpen), Fixed: fixed}
		flying := Series{Name: "one sender: calls out", XUnit: "events/s", YUnit: "calls", TargetX: SenderRate,
			Limit: float64(Settings(TargetSenders).Slots), Fixed: fixed}
		for _, rate := range rates {
			l := measureAtRate(t, rate, TargetDestinations, 1, down, 15*logic.Second, 10*logic.Second)
			for s, y := range map[*Series]float64{&core: l.stepCores, &process: l.processCores, &step: l.stepMicros, &message: l.messageMicros,
				&held: l.held, &flying: l.inFlight} {
				s.Points = append(s.Points, Point{rate, y})
			}
		}
		for _, s := range []Series{core, process, step, message, held, flying} {
			report.AddSeries(s)
		}
	}
}

// TestScaleDestinations measures one sender at the target's rate against the destinations listed.
func TestScaleDestinations(t *testing.T) {
	skipUnlessLarge(t)
	for _, each := range []int{1, 2} {
		fixed := map[string]float64{"events_per_s": SenderRate, "endpoints_each": float64(each), "share_down": TargetDownShare}
		core := Series{Name: "destinations: steps, share of a core", XUnit: "destinations", YUnit: "cores", TargetX: TargetDestinations,
			Limit: 1, Fixed: fixed}
		held := Series{Name: "destinations: messages held", XUnit: "destinations", YUnit: "messages", TargetX: TargetDestinations,
			Fixed: fixed}
		dead := Series{Name: "destinations: share of calls at those down, one sender", XUnit: "destinations", YUnit: "share",
			TargetX: TargetDestinations, Fixed: fixed}
		for _, dests := range []int{1000, 5000, 20_000, 100_000} {
			l := measureAtRate(t, SenderRate, dests, each, TargetDownShare, 15*logic.Second, 10*logic.Second)
			core.Points = append(core.Points, Point{float64(dests), l.stepCores})
			held.Points = append(held.Points, Point{float64(dests), l.held})
			dead.Points = append(dead.Points, Point{float64(dests), l.downCallShare})
		}
		report.AddSeries(core)
		report.AddSeries(held)
		report.AddSeries(dead)
	}
}

// TestScaleDownShare measures one sender at the target's rate against the share of its destinations that is down.
func TestScaleDownShare(t *testing.T) {
	skipUnlessLarge(t)
	const zone = 1.0 / 6
	fixed := map[string]float64{"events_per_s": SenderRate, "destinations": TargetDestinations}
	core := Series{Name: "share down: steps, share of a core", XUnit: "share down", YUnit: "cores", TargetX: zone, Limit: 1, Fixed: fixed,
		Note: "target: a zone of destinations is lost. Over one core the real sender falls behind, which virtual time does not show"}
	held := Series{Name: "share down: messages held", XUnit: "share down", YUnit: "messages", TargetX: zone, Fixed: fixed}
	flying := Series{Name: "share down: calls out", XUnit: "share down", YUnit: "calls", TargetX: zone, Fixed: fixed}
	dead := Series{Name: "share down: share of calls at those down, one sender", XUnit: "share down", YUnit: "share", TargetX: zone, Fixed: fixed}
	for _, down := range []float64{0, TargetDownShare, 0.05, zone, 0.2} {
		l := measureAtRate(t, SenderRate, TargetDestinations, 1, down, 12*logic.Second, 2*logic.Second)
		core.Points = append(core.Points, Point{down, l.stepCores})
		held.Points = append(held.Points, Point{down, l.held})
		flying.Points = append(flying.Points, Point{down, l.inFlight})
		dead.Points = append(dead.Points, Point{down, l.downCallShare})
	}
	for _, s := range []Series{core, held, flying, dead} {
		report.AddSeries(s)
	}
}

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

// smallFleet runs a small fleet that uses all features of the simulation: rate limits with Retry-After, order keys, an
// outage of each kind and the recovery from it.
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

// runParallel calls do with 0 to n-1, with as many concurrent calls as there are cores. Fleets share no state.
func runParallel(n int, do func(i int)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			do(i)
		})
	}
	group.Wait()
}

// TestFleetIsDeterministic checks that the same seed gives the same digest and counts, and another seed another digest.
func TestFleetIsDeterministic(t *testing.T) {
	a, b, c := smallFleet(t, 1), smallFleet(t, 1), smallFleet(t, 2)
	if a.Digest() != b.Digest() || a.Counts != b.Counts {
		t.Errorf("two runs of one seed differ: %x %+v, %x %+v", a.Digest(), a.Counts, b.Digest(), b.Counts)
	}
	if a.Digest() == c.Digest() {
		t.Error("two seeds give the same digest")
	}
}

// TestFleetCoversAllFeatures checks that simulated destinations reject, fail and recover: else the tests of bounds
// would check nothing.
func TestFleetCoversAllFeatures(t *testing.T) {
	f := smallFleet(t, 3)
	if f.Delivered < f.Messages*8/10 {
		t.Errorf("%d of %d messages were delivered, want at least 80%%", f.Delivered, f.Messages)
	}
	if f.Rejected == 0 || f.CallsToDown == 0 || f.Refused+f.Failed == 0 {
		t.Errorf("no call rejected, no call to a destination that is down, or no message ended undelivered: %+v", f.Counts)
	}
	if sum := f.Delivered + f.Refused + f.Failed + f.Held; sum != f.Messages {
		t.Errorf("%d messages arrived, %d are accounted for: %+v", f.Messages, sum, f.Counts)
	}
	for destination := range int64(3) {
		if len(f.EjectedAt[destination]) == 0 {
			t.Errorf("no sender ejected an endpoint of destination %d, which had an outage", destination)
		}
		if len(f.RecoveryWindows(destination, 11)) == 0 {
			t.Errorf("destination %d got no call after its outage", destination)
		}
	}
	// To a few senders, a used-up limit or a slow answer may look like an outage.
	for destination := int64(3); destination < 12; destination++ {
		if n := len(f.EjectedAt[destination]); n > 3 {
			t.Errorf("%d of 6 senders ejected an endpoint of destination %d, which served all along; want at most 3", n, destination)
		}
	}
}

func TestRecoveryWindows(t *testing.T) {
	f := newFleet(t, FleetConfig{Settings: Settings(1), Senders: 1, Destinations: 1})
	f.now = 100 * logic.Second
	f.SetMode(0, Refusing)
	f.SetMode(0, Serving)
	at := func(seconds float64) logic.Micros { return f.now + logic.Micros(seconds*float64(logic.Second)) }
	f.destinations[0].callsSinceReturn = []logic.Micros{at(0.5), at(1), at(2.6), at(7), at(15)}
	windows := f.RecoveryWindows(0, 10)
	want := []int{1, 2, 2, 1} // the window that ends at 2.6 s begins after the call at 0.5 s; slow start ends before 15 s
	if len(windows) != len(want) {
		t.Fatalf("%d windows, want %d", len(windows), len(want))
	}
	for i, n := range want {
		if windows[i].Calls != n {
			t.Errorf("window %d has %d calls, want %d", i, windows[i].Calls, n)
		}
	}
	// Half way through slow start: twice (0.2 + 0.8/2) of 10 calls a second, for two seconds.
	if math.Abs(windows[3].Budget-24) > 1e-9 {
		t.Errorf("budget half way through slow start is %v, want 24", windows[3].Budget)
	}
}

// Slow start.

// simulateRecovery runs a fleet whose destinations all have an outage and recover. Each has the traffic of an average
// destination, which is half of its capacity. It returns the window with the highest excess and the number of calls
// during slow start.
func simulateRecovery(t testing.TB, senders, destinations int, seed uint64, outage logic.Micros) (worst RecoveryWindow, calls int) {
	const capacity = 2 * DestinationRate
	f := newFleet(t, FleetConfig{Seed: seed, Settings: Settings(senders), Senders: senders, Destinations: destinations,
		MessageRate: DestinationRate * float64(destinations) / float64(senders), RateLimit: capacity, RetryAfter: 500_000})
	const downAt = 60 * logic.Second
	f.ScheduleAt(downAt, func() {
		for i := range destinations {
			f.SetMode(int64(i), Refusing)
		}
	})
	f.ScheduleAt(downAt+outage, func() {
		for i := range destinations {
			f.SetMode(int64(i), Serving)
		}
	})
	f.RunUntil(downAt + outage + f.cfg.Settings.WarmAfter + logic.Second)
	worst.Budget = 1e9
	for i := range destinations {
		for _, window := range f.RecoveryWindows(int64(i), capacity) {
			calls++
			if window.Excess() > worst.Excess() {
				worst = window
			}
		}
	}
	return worst, calls
}

// TestScaleRecovery measures the calls that a recovering destination gets from the whole fleet in any window, relative
// to its budget. The strict test of the budget is in logic/fleet_test.go.
func TestScaleRecovery(t *testing.T) {
	skipUnlessLarge(t)
	for _, outage := range []logic.Micros{20 * logic.Second, 60 * logic.Second} {
		excess := Series{Name: "cold return: calls beyond the budget, part of chance", XUnit: "senders",
			YUnit: "of 2 root N + 2", TargetX: TargetSenders, Limit: 1, Note: "the worst window of 60 destinations; 11 events/s each, 22/s capacity",
			Fixed: map[string]float64{"outage_s": float64(outage / logic.Second)}}
		ratio := Series{Name: "cold return: calls over budget, the same window", XUnit: "senders", YUnit: "calls/budget",
			TargetX: TargetSenders, Fixed: excess.Fixed}
		fleetSizes, worstWindows := []int{20, 30, 300, 540}, [12]RecoveryWindow{}
		runParallel(len(worstWindows), func(i int) { worstWindows[i], _ = simulateRecovery(t, fleetSizes[i/3], 20, uint64(i%3)+1, outage) })
		for i, senders := range fleetSizes {
			worst := worstWindows[3*i]
			for _, window := range worstWindows[3*i+1 : 3*i+3] {
				if window.Excess() > worst.Excess() {
					worst = window
				}
			}
			excess.Points = append(excess.Points, Point{float64(senders), worst.Excess()})
			ratio.Points = append(ratio.Points, Point{float64(senders), float64(worst.Calls) / worst.Budget})
		}
		report.AddSeries(excess)
		report.AddSeries(ratio)
	}
}

// Destinations that are down.

// outageResult holds what a fleet spends on destinations that go down, and how soon its senders detect the outages. A
// detection time is the median over these destinations. It is 0 if that many senders detected the outage at half of
// them or fewer.
type outageResult struct {
	downDestinations             int     // number of destinations that went down
	firstMinuteCalls             float64 // calls to one of them in its first minute down, all senders
	laterCallRate                float64 // calls a second to one of them after that, all senders
	downCallShare                float64 // share of the calls after the first minute that went to them
	firstKnowsAfter              float64 // seconds until the first sender has detected the outage
	halfKnowAfter, mostKnowAfter float64 // the same for half and nine in ten senders
	allKnowAfter                 float64 // the same for all senders
	knowingShare                 float64 // share of the senders that have detected the outage at the end
}

const outageSeconds = 240

// simulateOutage runs a fleet in which a share of the destinations goes down. Half of these hang, the others refuse
// connections.
func simulateOutage(t testing.TB, senders, destinations int, share float64, seed uint64) (result outageResult) {
	f := newFleet(t, FleetConfig{Seed: seed, Settings: Settings(senders), Senders: senders, Destinations: destinations,
		MessageRate: SenderDestinationRate * float64(destinations), TraceEjections: true})
	result.downDestinations = int(math.Round(share * float64(destinations)))
	const downAt = 60 * logic.Second
	f.RunUntil(downAt)
	for i := range result.downDestinations {
		f.SetMode(int64(i), Mode(1+i%2))
	}
	f.RunUntil(downAt + 60*logic.Second)
	afterMinute := f.Counts
	f.RunUntil(downAt + outageSeconds*logic.Second)
	if result.downDestinations == 0 {
		return result
	}
	result.firstMinuteCalls = float64(afterMinute.CallsToDown) / float64(result.downDestinations)
	result.laterCallRate = float64(f.CallsToDown-afterMinute.CallsToDown) / float64(result.downDestinations) / (outageSeconds - 60)
	result.downCallShare = float64(f.CallsToDown-afterMinute.CallsToDown) / float64(f.Calls-afterMinute.Calls)
	var knownTimes [][]float64
	for i := range result.downDestinations {
		var times []float64
		for _, t := range f.EjectedAt[int64(i)] {
			times = append(times, float64(t-downAt)/float64(logic.Second))
		}
		slices.Sort(times)
		knownTimes = append(knownTimes, times)
		result.knowingShare += float64(len(times)) / float64(senders) / float64(result.downDestinations)
	}
	medianUntil := func(n int) float64 { // median time until n senders have detected an outage
		var reached []float64
		for _, times := range knownTimes {
			if len(times) >= n {
				reached = append(reached, times[n-1])
			}
		}
		if 2*len(reached) <= result.downDestinations {
			return 0
		}
		return Median(reached)
	}
	result.firstKnowsAfter, result.halfKnowAfter, result.mostKnowAfter, result.allKnowAfter = medianUntil(1), medianUntil((senders+1)/2), medianUntil((senders*9+9)/10), medianUntil(senders)
	return result
}

// TestScaleDown measures the calls to destinations that are down, by the size of the fleet and by the share of these
// destinations. Each sender has the target's traffic for each destination, 0.02 events a second. What happens at one
// destination then does not depend on their number, and some hundreds represent 100,000.
func TestScaleDown(t *testing.T) {
	skipUnlessLarge(t)
	add := func(xUnit string, target float64, fixed map[string]float64, xs []float64, results []outageResult) {
		for _, y := range []struct {
			name, unit string
			value      func(outageResult) float64
		}{
			{"calls in the first minute at one that went down, fleet", "calls", func(result outageResult) float64 { return result.firstMinuteCalls }},
			{"calls a second at one after its first minute down, fleet", "calls/s", func(result outageResult) float64 { return result.laterCallRate }},
			{"share of all calls spent on those down", "share", func(result outageResult) float64 { return result.downCallShare }},
			{"seconds until the first sender knows", "s", func(result outageResult) float64 { return result.firstKnowsAfter }},
			{"seconds until half of the senders know", "s", func(result outageResult) float64 { return result.halfKnowAfter }},
			{"seconds until nine in ten senders know", "s", func(result outageResult) float64 { return result.mostKnowAfter }},
			{"seconds until all senders know", "s", func(result outageResult) float64 { return result.allKnowAfter }},
			{"share of the senders that know after 240 s", "share", func(result outageResult) float64 { return result.knowingShare }},
		} {
			s := Series{Name: "down: " + y.name, XUnit: xUnit, YUnit: y.unit, TargetX: target, Fixed: fixed,
				Note: "medians over those down; 0.02 events a second at each sender for each destination"}
			incomplete := false
			for i, result := range results {
				if value := y.value(result); value > 0 || y.unit != "s" {
					s.Points = append(s.Points, Point{xs[i], value})
				} else if result.downDestinations > 0 {
					incomplete = true
				}
			}
			if incomplete {
				s.Note += "; sizes that are missing: not within 240 s at half of them"
			}
			report.AddSeries(s)
		}
	}
	fleetSizes, destinations := []float64{20, 60, 180, 540}, []int{2000, 1200, 600, 300}
	shares := []float64{0, TargetDownShare, 0.05, 0.1, 0.2}
	byFleet, byShare := make([]outageResult, len(fleetSizes)), make([]outageResult, len(shares))
	runParallel(len(fleetSizes)+len(shares), func(i int) {
		if i < len(fleetSizes) {
			byFleet[i] = simulateOutage(t, int(fleetSizes[i]), destinations[i], TargetDownShare, 1)
		} else {
			byShare[i-len(fleetSizes)] = simulateOutage(t, 60, 600, shares[i-len(fleetSizes)], 1)
		}
	})
	add("senders", TargetSenders, map[string]float64{"share_down": TargetDownShare, "rate_each": SenderDestinationRate}, fleetSizes, byFleet)
	add("share down", TargetDownShare, map[string]float64{"senders": 60, "rate_each": SenderDestinationRate}, shares, byShare)
}

// Destinations that can't be reached.

// unreachableResult holds what a fleet does while a share of its destinations can't be reached for a minute, and after
// that.
type unreachableResult struct {
	// Calls to these destinations in the first second and the first minute, for each message for them.
	firstSecondCalls, firstMinuteCalls float64
	endedShare                         float64 // share of the messages for them that ended undelivered within the minute
	returnCalls                        float64 // calls to them in the first second after the outage, for each message
	lostSeconds                        float64 // messages ended undelivered in the 240 s after it, in seconds of traffic
	// Seconds after the outage until under 5% of the messages end undelivered, in steps of 10 s.
	healthyAfter float64
}

// simulateUnreachable runs a fleet in which a share of the destinations hangs for a minute and then recovers, all at
// once. Each has the traffic of an average destination at the target, 11 events a second, and a capacity of twice that,
// whatever the number of senders.
func simulateUnreachable(t testing.TB, senders, destinations int, share float64) (result unreachableResult) {
	rate := DestinationRate * float64(destinations) / float64(senders)
	f := newFleet(t, FleetConfig{Seed: 1, Settings: Settings(senders), Senders: senders, Destinations: destinations, MessageRate: rate,
		RateLimit: 2 * DestinationRate, RetryAfter: 500_000})
	unreachable := max(int(math.Round(share*float64(destinations))), 1)
	setMode := func(mode Mode) {
		for i := range unreachable {
			f.SetMode(int64(i), mode)
		}
	}
	endedSum := func() (sum float64) {
		for _, d := range f.destinations[:unreachable] {
			sum += float64(d.messagesEnded)
		}
		return sum
	}
	const s = logic.Second
	messageRate := DestinationRate * float64(unreachable) // messages a second for the unreachable destinations
	f.RunUntil(60 * s)
	endedBefore := endedSum()
	setMode(Hanging)
	f.RunUntil(61 * s)
	result.firstSecondCalls = float64(f.CallsToDown) / messageRate
	f.RunUntil(120 * s)
	result.firstMinuteCalls = float64(f.CallsToDown) / messageRate / 60
	lastEnded := endedSum()
	result.endedShare = (lastEnded - endedBefore) / messageRate / 60
	endedBefore = lastEnded
	setMode(Serving)
	f.RunUntil(121 * s)
	for _, d := range f.destinations[:unreachable] {
		result.returnCalls += float64(len(d.callsSinceReturn)) / messageRate
	}
	for i := 10; i <= afterReturnSeconds; i += 10 {
		f.RunUntil(logic.Micros(120+i) * s)
		if now := endedSum(); now-lastEnded > 0.05*messageRate*10 {
			result.healthyAfter, lastEnded = float64(i), now
		} else {
			lastEnded = now
		}
	}
	result.lostSeconds = (lastEnded - endedBefore) / messageRate
	return result
}

const afterReturnSeconds = 240 // observed after an outage

// TestScaleUnreachable measures a rack, a zone and a region of destinations that can't be reached for a minute, and,
// for a part of them, their recovery by the number of senders that share their traffic.
func TestScaleUnreachable(t *testing.T) {
	skipUnlessLarge(t)
	shares, fleetSizes := []float64{1.0 / 60, 1.0 / 12, 1.0 / 6, 1.0 / 2}, []float64{20, 60, 180, 540}
	byShare, byFleet := make([]unreachableResult, len(shares)), make([]unreachableResult, len(fleetSizes))
	const destinations = 60
	runParallel(len(byShare)+len(byFleet), func(i int) {
		if i < len(byShare) {
			byShare[i] = simulateUnreachable(t, TargetSenders, destinations, shares[i])
		} else {
			byFleet[i-len(byShare)] = simulateUnreachable(t, int(fleetSizes[i-len(byShare)]), destinations, 1.0/6)
		}
	})
	add := func(xUnit string, target float64, fixed map[string]float64, xs []float64, results []unreachableResult) {
		for _, y := range []struct {
			name, unit string
			value      func(unreachableResult) float64
		}{
			{"calls for a message, first second", "calls", func(result unreachableResult) float64 { return result.firstSecondCalls }},
			{"calls for a message, first minute", "calls", func(result unreachableResult) float64 { return result.firstMinuteCalls }},
			{"share of their messages that end in the minute", "share", func(result unreachableResult) float64 { return result.endedShare }},
			{"calls for a message, first second after", "calls", func(result unreachableResult) float64 { return result.returnCalls }},
			{"messages that end after it, in seconds of traffic", "s", func(result unreachableResult) float64 { return result.lostSeconds }},
			{"seconds after it until under 5% end", "s", func(result unreachableResult) float64 { return result.healthyAfter }},
		} {
			s := Series{Name: "a minute's cut: " + y.name, XUnit: xUnit, YUnit: y.unit, TargetX: target, Fixed: fixed,
				Note: "they hang, then return cold at once, warm after 14 s; 11 events/s at each, 22/s capacity"}
			for i, result := range results {
				s.Points = append(s.Points, Point{xs[i], y.value(result)})
			}
			report.AddSeries(s)
		}
	}
	add("share of destinations", 0.5, map[string]float64{"senders": TargetSenders, "destinations": destinations}, shares, byShare)
	add("senders", TargetSenders, map[string]float64{"share_cut": 1.0 / 6, "destinations": destinations}, fleetSizes, byFleet)
}

// One sender at the target's rate.

// senderLoad holds what one sender does and costs in a steady state.
type senderLoad struct {
	stepCores                 float64 // cores used by its steps alone
	processCores              float64 // cores used by the process: steps, garbage collector and simulation
	stepMicros, messageMicros float64 // microseconds of processor time for one step, and of all steps for one message
	stepRate                  float64 // steps a second
	held, inFlight            float64 // messages held and calls in flight, the mean of ten samples
	downCallShare             float64 // share of the calls that go to destinations that are down
}

// measureAtRate runs one sender of a fleet of 540 until it is in a steady state, and then measures it for some seconds.
func measureAtRate(t testing.TB, rate float64, destinations, endpointsEach int, downShare float64, warmUp, span logic.Micros) (load senderLoad) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	f := newFleet(t, FleetConfig{Seed: 1, Settings: Settings(TargetSenders), Senders: 1, Destinations: destinations, EndpointsEach: endpointsEach, MessageRate: rate,
		OrderKeys: 10_000, MeasureStepTime: true})
	for i := range int(math.Round(downShare * float64(destinations))) {
		f.SetMode(int64(i), Mode(1+i%2))
	}
	f.RunUntil(warmUp)
	start, cpu := f.Counts, CPUTime()
	for i := range logic.Micros(10) {
		f.RunUntil(warmUp + span*(i+1)/10)
		load.held += float64(f.Held) / 10
		load.inFlight += float64(f.InFlight) / 10
	}
	seconds := float64(span) / float64(logic.Second)
	load.processCores = (CPUTime() - cpu).Seconds() / seconds
	took := f.StepTime - start.StepTime
	load.stepCores = took.Seconds() / seconds
	load.stepMicros = took.Seconds() * 1e6 / float64(f.Steps-start.Steps)
	load.messageMicros = took.Seconds() * 1e6 / float64(f.Messages-start.Messages)
	load.stepRate = float64(f.Steps-start.Steps) / seconds
	load.downCallShare = float64(f.CallsToDown-start.CallsToDown) / float64(f.Calls-start.Calls)
	return load
}

// TestScaleRate measures one sender by the messages that arrive in a second, with all 100,000 destinations listed.
func TestScaleRate(t *testing.T) {
	skipUnlessLarge(t)
	rates := []float64{500, 1000, SenderRate, SenderRateZoneLost, SenderRateRegionLost}
	for _, downShare := range []float64{0, TargetDownShare} {
		fixed := map[string]float64{"destinations": TargetDestinations, "share_down": downShare}
		core := Series{Name: "one sender: steps, share of a core", XUnit: "events/s", YUnit: "cores", TargetX: SenderRateRegionLost,
			Limit: 1, Fixed: fixed, Note: "one goroutine decides: beyond one core it falls behind. Target: a region is lost"}
		process := Series{Name: "one sender: steps, collector and driver, share of a core", XUnit: "events/s", YUnit: "cores",
			TargetX: SenderRateRegionLost, Fixed: fixed}
		step := Series{Name: "one sender: a step", XUnit: "events/s", YUnit: "us", TargetX: SenderRate, Fixed: fixed}
		message := Series{Name: "one sender: all steps for a message", XUnit: "events/s", YUnit: "us", TargetX: SenderRate, Fixed: fixed}
		held := Series{Name: "one sender: messages held", XUnit: "events/s", YUnit: "messages", TargetX: SenderRate,
			Limit: float64(Settings(TargetSenders).MaxOpen), Fixed: fixed}
		inFlight := Series{Name: "one sender: calls out", XUnit: "events/s", YUnit: "calls", TargetX: SenderRate,
			Limit: float64(Settings(TargetSenders).Slots), Fixed: fixed}
		for _, rate := range rates {
			load := measureAtRate(t, rate, TargetDestinations, 1, downShare, 15*logic.Second, 10*logic.Second)
			for s, y := range map[*Series]float64{&core: load.stepCores, &process: load.processCores, &step: load.stepMicros, &message: load.messageMicros,
				&held: load.held, &inFlight: load.inFlight} {
				s.Points = append(s.Points, Point{rate, y})
			}
		}
		for _, s := range []Series{core, process, step, message, held, inFlight} {
			report.AddSeries(s)
		}
	}
}

// TestScaleDestinations measures one sender at the target's rate by the number of destinations listed.
func TestScaleDestinations(t *testing.T) {
	skipUnlessLarge(t)
	for _, endpointsEach := range []int{1, 2} {
		fixed := map[string]float64{"events_per_s": SenderRate, "endpoints_each": float64(endpointsEach), "share_down": TargetDownShare}
		core := Series{Name: "destinations: steps, share of a core", XUnit: "destinations", YUnit: "cores", TargetX: TargetDestinations,
			Limit: 1, Fixed: fixed}
		held := Series{Name: "destinations: messages held", XUnit: "destinations", YUnit: "messages", TargetX: TargetDestinations,
			Fixed: fixed}
		toDown := Series{Name: "destinations: share of calls at those down, one sender", XUnit: "destinations", YUnit: "share",
			TargetX: TargetDestinations, Fixed: fixed}
		for _, destinations := range []int{1000, 5000, 20_000, 100_000} {
			load := measureAtRate(t, SenderRate, destinations, endpointsEach, TargetDownShare, 15*logic.Second, 10*logic.Second)
			core.Points = append(core.Points, Point{float64(destinations), load.stepCores})
			held.Points = append(held.Points, Point{float64(destinations), load.held})
			toDown.Points = append(toDown.Points, Point{float64(destinations), load.downCallShare})
		}
		report.AddSeries(core)
		report.AddSeries(held)
		report.AddSeries(toDown)
	}
}

// TestScaleDownShare measures one sender at the target's rate by the share of its destinations that are down.
func TestScaleDownShare(t *testing.T) {
	skipUnlessLarge(t)
	const zone = 1.0 / 6
	fixed := map[string]float64{"events_per_s": SenderRate, "destinations": TargetDestinations}
	core := Series{Name: "share down: steps, share of a core", XUnit: "share down", YUnit: "cores", TargetX: zone, Limit: 1, Fixed: fixed,
		Note: "target: a zone of destinations is lost. Over one core the real sender falls behind, which virtual time does not show"}
	held := Series{Name: "share down: messages held", XUnit: "share down", YUnit: "messages", TargetX: zone, Fixed: fixed}
	inFlight := Series{Name: "share down: calls out", XUnit: "share down", YUnit: "calls", TargetX: zone, Fixed: fixed}
	toDown := Series{Name: "share down: share of calls at those down, one sender", XUnit: "share down", YUnit: "share", TargetX: zone, Fixed: fixed}
	for _, downShare := range []float64{0, TargetDownShare, 0.05, zone, 0.2} {
		load := measureAtRate(t, SenderRate, TargetDestinations, 1, downShare, 12*logic.Second, 2*logic.Second)
		core.Points = append(core.Points, Point{downShare, load.stepCores})
		held.Points = append(held.Points, Point{downShare, load.held})
		inFlight.Points = append(inFlight.Points, Point{downShare, load.inFlight})
		toDown.Points = append(toDown.Points, Point{downShare, load.downCallShare})
	}
	for _, s := range []Series{core, held, inFlight, toDown} {
		report.AddSeries(s)
	}
}

package logic

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Many real deciders side by side under one event-driven clock, against one destination that is down for a while and
// comes back cold. What all of them send together is held against what topples it, in every window.

var fleetSeeds = flag.Int("fleetseeds", 1, "seeds of each deployment of the fleet tests")

// fault is how the destination is down.
type fault int

const (
	faultHang fault = iota
	faultRefuse
	faultReset
	faultReject // turns all away unseen
	faultError  // four calls in five
	faultNone   // not at all
)

// fleetCase is one deployment and its day. What is drawn from the seed is not in it.
type fleetCase struct {
	senders, endpoints   int
	limitSource          int // how the limit is told: 0 not, 1 in the list, 2 in the list and with each answer
	fault                fault
	unevenLoad, restarts bool
	ruleIndex            int // index of fleetRules
	limitRPS             float64
	loadShare            float64 // traffic over the limit; 0: drawn
	chanceFailureRate    float64 // share of calls that break by chance
	firstEndpointOnly    bool    // only the first endpoint is down, and the others take all that the limit allows
	seed                 uint64
}

func (c fleetCase) String() string {
	return fmt.Sprintf("%d senders, %d endpoints, %s, %s, limit %.0f, rules %d, uneven %v, restarts %v, seed %d", c.senders,
		c.endpoints, []string{"no limit told", "limit in the list", "limit in answers"}[c.limitSource],
		[]string{"hangs", "refuses", "resets", "shuts", "fails", "well"}[c.fault], c.limitRPS, c.ruleIndex, c.unevenLoad, c.restarts, c.seed)
}

// fleetRules are figures of the rules in deployments unlike each other.
var fleetRules = []struct {
	multiple, from float64
	window, warm   Micros
}{
	{2, 0.2, 2 * Second, 14 * Second},
	{1.5, 0.3, Second, 8 * Second},
	{3, 0.1, 3 * Second, 20 * Second},
}

type fleet struct {
	deployment         fleetCase
	settings           Settings
	rnd                *rand.Rand
	now                Micros
	queue              fleetQueue
	seq                int
	senders            []*fleetSender
	downAt, upAt       Micros
	acceptedAt         []Micros       // calls that the destination took
	recoveryCalls      []recoveryCall // calls that reached it since its return
	deliveredAt        []Micros
	arrivals           int
	deliveredWithinAim int // served within the aim
	calls              int
}

// recoveryCall is a call that reached the cold destination.
type recoveryCall struct {
	at         Micros
	senderKnew bool   // its sender had been told of the outage
	allowedBy  string // what let it through
}

type fleetSender struct {
	sender      *Sender
	index       int
	weight      float64
	generation  int
	stopped     bool
	knowsOutage bool
	messages    map[string]*fleetMessage
}

type fleetMessage struct {
	id                string
	class             int
	deadline          Micros
	tries             int
	mayHaveRun        bool
	firstMayHaveRunAt Micros
	clientRetries     int // times that its client came again
	attempt           *fleetAttempt
}

type fleetAttempt struct{ ended bool }

type fleetEvent struct {
	at  Micros
	seq int
	run func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q fleetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (f *fleet) schedule(t Micros, do func()) {
	f.seq++
	heap.Push(&f.queue, fleetEvent{max(t, f.now), f.seq, do})
}

// randomSpan is a random span.
func (f *fleet) randomSpan(least, most Micros) Micros {
	return least + Micros(f.rnd.Int64N(int64(most-least+1)))
}

func newFleet(t *testing.T, c fleetCase) *fleet {
	t.Helper()
	r := fleetRules[c.ruleIndex]
	set := Settings{Senders: c.senders, Zones: 1, Slots: 16, MaxOpen: 200, MaxTries: 6, Tick: 5000, MayCancel: true, AdviseRetry: true,
		WorthHalves: true, MaxRetryAfter: 2 * Second, DrainGrace: Second, ConnIdle: 5 * Second, ConnCalls: 4,
		Classes: []Class{
			{Name: "a", Aim: 2 * Second, Deadline: 25 * Second, Worth: 1, LateWorth: 0.3},
			{Name: "b", Aim: 3 * Second, Deadline: 18 * Second, Worth: 1, LateWorth: 0.4, Effect: Unsafe},
			{Name: "c", Aim: Second, Deadline: 9 * Second, Worth: 1, LateWorth: 0.4, Effect: Keyed, Window: 6 * Second}},
		Kinds: []Kind{{Name: "k", Batch: 1}}, FallMultiple: r.multiple, FallWindow: r.window, ColdFrom: r.from,
		WarmAfter: r.warm, LimitLeftIndex: -1, LimitIndex: -1}
	if c.limitSource > 0 {
		set.Weights = WeightsNominal
	}
	if c.limitSource > 1 {
		set.LimitLeftIndex, set.LimitIndex = 0, 1
	}
	f := &fleet{deployment: c, settings: set, rnd: rand.New(rand.NewPCG(c.seed, uint64(c.senders)))}
	f.downAt = 10*Second + f.randomSpan(0, 2*Second)
	f.upAt = f.downAt + f.randomSpan(7*Second/2, 15*Second)
	for i := range c.senders {
		n := &fleetSender{index: i, weight: 1}
		if c.unevenLoad && f.rnd.IntN(6) == 0 {
			n.weight = 3 + 3*f.rnd.Float64()
		}
		f.senders = append(f.senders, n)
		f.start(t, n)
	}
	return f
}

// start begins a life of a sender.
func (f *fleet) start(t *testing.T, n *fleetSender) {
	s, err := New(f.settings, f.rnd.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	old := n.messages
	n.sender, n.stopped, n.knowsOutage, n.messages = s, false, false, map[string]*fleetMessage{}
	n.generation++
	ev := ListUpdate{Form: ListFull}
	for i := range f.deployment.endpoints {
		row := Entry{Endpoint: EndpointID(i + 1), Destination: 9}
		if f.deployment.limitSource > 0 {
			row.Nominal = f.deployment.limitRPS
		}
		ev.Entries = append(ev.Entries, row)
	}
	evs := []Event{ev}
	var ids []string
	for id := range old {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids { // what the journal kept
		m := old[id]
		if m.attempt != nil {
			m.mayHaveRun = true
		}
		if m.attempt = nil; m.deadline <= f.now {
			continue
		}
		n.messages[id] = m
		evs = append(evs, NewMessage{ID: id, TimeLeft: m.deadline - f.now, Destination: 9, Tenant: -1, Class: m.class,
			Prior: PriorAttempts{Recovered: true, Tries: m.tries, MayHaveRun: m.mayHaveRun, SinceFirstSend: f.now - m.firstMayHaveRunAt}})
	}
	f.step(n, evs...)
}

// crash ends a life; the next begins after a while with what was kept.
func (f *fleet) crash(t *testing.T, n *fleetSender) {
	n.stopped = true
	n.generation++
	f.schedule(f.now+f.randomSpan(Second/2, 2*Second), func() { f.start(t, n) })
}

// arrive lets the next message come, and so on until the end.
func (f *fleet) arrive(rate float64, end Micros) {
	total := 0.0
	for _, n := range f.senders {
		total += n.weight
	}
	var next func()
	next = func() {
		x := f.rnd.Float64() * total
		pick := f.senders[len(f.senders)-1]
		for _, n := range f.senders {
			if x -= n.weight; x < 0 {
				pick = n
				break
			}
		}
		f.arrivals++
		ci := [...]int{0, 0, 0, 0, 0, 0, 1, 1, 1, 2}[f.rnd.IntN(10)]
		f.handIn(pick, &fleetMessage{id: fmt.Sprint("m", f.arrivals), class: ci, deadline: f.now + f.settings.Classes[ci].Deadline})
		if t := f.now + 1 + Micros(f.rnd.ExpFloat64()/rate*float64(Second)); t < end {
			f.schedule(t, next)
		}
	}
	f.schedule(0, next)
}

// handIn gives a message to a sender, or to another one while that is down.
func (f *fleet) handIn(n *fleetSender, m *fleetMessage) {
	for n.stopped {
		n = f.senders[f.rnd.IntN(len(f.senders))]
	}
	n.messages[m.id] = m
	f.step(n, NewMessage{ID: m.id, TimeLeft: m.deadline - f.now, Destination: 9, Tenant: -1, Class: m.class})
}

func (f *fleet) step(n *fleetSender, evs ...Event) {
	life := n.generation
	for _, a := range n.sender.Step(f.now, evs) {
		switch a := a.(type) {
		case CallOut:
			f.startAttempt(n, a)
		case Cancel:
			if m := n.messages[a.ID]; m != nil && m.attempt != nil {
				try, n0 := m.attempt, m.tries-1
				f.schedule(f.now+5000, func() { f.finishAttempt(n, life, m, try, AttemptResult{Attempt: n0, Outcome: Cancelled}) })
			}
		case SetTimer:
			f.schedule(f.now+a.Wait, func() {
				if n.generation == life {
					f.step(n, TimerExpired{a.Token})
				}
			})
		case Refuse:
			m := n.messages[a.ID]
			delete(n.messages, a.ID)
			back := f.now + a.RetryIn + f.randomSpan(0, Second)
			if m.clientRetries++; m.clientRetries > 2 || back+Second > m.deadline || f.rnd.IntN(3) == 0 {
				continue
			}
			again := &fleetMessage{id: fmt.Sprint(m.id, "x"), class: m.class, deadline: m.deadline, clientRetries: m.clientRetries}
			f.schedule(back, func() { f.handIn(f.senders[f.rnd.IntN(len(f.senders))], again) })
		case Fail:
			if m := n.messages[a.ID]; m != nil && m.attempt == nil {
				delete(n.messages, a.ID)
			}
		}
	}
}

// startAttempt sends one attempt to the destination.
func (f *fleet) startAttempt(n *fleetSender, a CallOut) {
	m, life, at := n.messages[a.ID], n.generation, f.now
	f.calls++
	try := &fleetAttempt{}
	no := m.tries
	m.tries++
	m.attempt = try
	if !m.mayHaveRun {
		m.firstMayHaveRunAt = f.now
	}
	e := n.sender.endpoints[a.Endpoint]
	p := recoveryCall{senderKnew: n.knowsOutage, allowedBy: "free"}
	switch {
	case e.ejected:
		p.allowedBy = "trial"
	case slices.ContainsFunc(e.destination.endpoints, func(x *endpoint) bool { return x.recovering }):
		p.allowedBy = "budget"
	}
	if n.sender.messages[a.ID].untried {
		p.allowedBy += ", kept"
	}
	land := func(after Micros, o Outcome, wait Micros, load []float64) {
		f.schedule(f.now+after, func() {
			f.finishAttempt(n, life, m, try, AttemptResult{Attempt: no, Endpoint: a.Endpoint, Outcome: o, Duration: f.now - at, RetryAfter: wait, Load: load})
		})
	}
	f.schedule(at+a.GiveUp, func() {
		f.finishAttempt(n, life, m, try, AttemptResult{Attempt: no, Endpoint: a.Endpoint, Outcome: TimedOut, Duration: a.GiveUp})
	})
	f.schedule(at+f.randomSpan(5000, 15_000), func() {
		if f.rnd.Float64() < f.deployment.chanceFailureRate {
			land(f.randomSpan(5000, 60_000), ConnBroken, 0, nil)
			return
		}
		if f.now >= f.downAt && f.now < f.upAt && f.deployment.fault != faultNone && (a.Endpoint == 1 || !f.deployment.firstEndpointOnly) {
			switch f.deployment.fault {
			case faultRefuse:
				land(f.randomSpan(5000, 15_000), ConnRefused, 0, nil)
			case faultReset:
				land(f.randomSpan(5000, 60_000), ConnBroken, 0, nil)
			case faultReject:
				land(f.randomSpan(5000, 15_000), Rejected, 0, nil)
			case faultError:
				o := Errored
				if f.rnd.IntN(5) == 0 {
					o = Completed
				}
				land(f.randomSpan(5000, 60_000), o, 0, nil)
			}
			return
		}
		if f.now >= f.upAt {
			p.at = f.now
			f.recoveryCalls = append(f.recoveryCalls, p)
		}
		// What it has room for within a second is taken, the rest turned away unseen.
		room := f.capacity(f.now)
		used := float64(countAfter(f.acceptedAt, f.now-Second))
		var load []float64
		if f.deployment.limitSource > 1 {
			load = []float64{max(0, 1-(used+1)/room), f.deployment.limitRPS}
		}
		if used+1 > max(room, 1) {
			wait := Micros(0)
			if f.rnd.IntN(2) == 0 {
				wait = f.randomSpan(100_000, 900_000)
			}
			land(f.randomSpan(5000, 15_000), Rejected, wait, load)
			return
		}
		f.acceptedAt = append(f.acceptedAt, f.now)
		land(f.randomSpan(30_000, 300_000), Completed, 0, load)
	})
}

// capacity is what the destination takes now, in calls a second.
func (f *fleet) capacity(t Micros) float64 {
	if t < f.upAt || f.deployment.fault == faultNone || f.deployment.firstEndpointOnly {
		return f.deployment.limitRPS
	}
	part := f.settings.ColdFrom + (1-f.settings.ColdFrom)*min(1, seconds(t-f.upAt)/seconds(f.settings.WarmAfter))
	return f.deployment.limitRPS * part
}

// finishAttempt brings the outcome of an attempt, once, unless its sender has died.
func (f *fleet) finishAttempt(n *fleetSender, life int, m *fleetMessage, try *fleetAttempt, r AttemptResult) {
	if try.ended || n.generation != life {
		return
	}
	try.ended, m.attempt = true, nil
	r.ID = m.id
	if r.Outcome == Completed {
		r.MessageEnded = true
		delete(n.messages, m.id)
		f.deliveredAt = append(f.deliveredAt, f.now)
		if f.now <= m.deadline-f.settings.Classes[m.class].Deadline+f.settings.Classes[m.class].Aim {
			f.deliveredWithinAim++
		}
	}
	if r.Outcome != ConnRefused && r.Outcome != Rejected {
		m.mayHaveRun = true
	}
	e := n.sender.messages[m.id]
	if e == nil || e.ended {
		r.MessageEnded = true
		delete(n.messages, m.id)
	}
	if r.Endpoint == 0 && e != nil && e.attempt != nil {
		r.Endpoint = e.attempt.endpoint.id
	}
	f.step(n, r)
	if r.Outcome != Completed && f.now >= f.downAt && f.now-r.Duration < f.upAt {
		n.knowsOutage = true
	}
}

// fleetResult is what a day showed.
type fleetResult struct {
	worstLoad      float64 // the worst window: calls over N + 2 root of N + 2
	worstKnownLoad float64 // the same among windows of which over two thirds came from senders that had been told
	calls          int     // of that window ...
	bound          float64 // ... and what it bears
	windowEnd      Micros  // its end, since the return
	callsByPath    map[string]int
	recoveredAfter Micros  // until four fifths of what was served before are served again, since the return; -1 if never
	deliveredShare float64 // of messages served
	capacityUsed   float64 // what the destination had room for since its return, over what it took
}

// play runs the day.
func (f *fleet) play(t *testing.T) (r fleetResult) {
	t.Helper()
	if f.deployment.restarts {
		for _, n := range f.senders { // seven in ten at once, others later
			at := f.downAt + (f.upAt-f.downAt)/2
			switch x := f.rnd.IntN(10); {
			case x >= 9:
				continue
			case x >= 7:
				at = f.downAt + f.randomSpan(0, f.upAt-f.downAt)
			}
			f.schedule(at, func() { f.crash(t, n) })
		}
	}
	end := f.upAt + f.settings.WarmAfter + 6*Second
	load := 0.45 + 0.4*f.rnd.Float64()
	if f.deployment.loadShare > 0 {
		load = f.deployment.loadShare
	}
	f.arrive(f.deployment.limitRPS*load, end)
	for f.queue.Len() > 0 {
		x := heap.Pop(&f.queue).(fleetEvent)
		if f.now = x.at; f.now > end {
			break
		}
		x.run()
	}
	return f.evaluate(end)
}

// evaluate holds the pushes against the rule, in the window that ends with each.
func (f *fleet) evaluate(end Micros) (r fleetResult) {
	from, told := 0, 0
	for i, p := range f.recoveryCalls {
		if p.at > f.upAt+f.settings.WarmAfter {
			break // as warm as ever
		}
		if p.senderKnew {
			told++
		}
		for f.recoveryCalls[from].at <= p.at-f.settings.FallWindow {
			if f.recoveryCalls[from].senderKnew {
				told--
			}
			from++
		}
		n := i - from + 1
		most := f.settings.FallMultiple * f.capacity(p.at) * seconds(f.settings.FallWindow)
		most += 2*math.Sqrt(most) + 2
		x := float64(n) / most
		r.worstLoad = max(r.worstLoad, x)
		if 3*told > 2*n && x > r.worstKnownLoad {
			r.worstKnownLoad, r.calls, r.bound, r.windowEnd, r.callsByPath = x, n, most, p.at-f.upAt, map[string]int{}
			for _, q := range f.recoveryCalls[from : i+1] {
				if !q.senderKnew {
					q.allowedBy += " of the untold"
				}
				r.callsByPath[q.allowedBy]++
			}
		}
	}
	before := float64(countAfter(f.deliveredAt, f.downAt-8*Second)-countAfter(f.deliveredAt, f.downAt)) / 8
	r.recoveredAfter = -1
	for i, t := range f.deliveredAt {
		if j := i - int(0.8*before*3); t > f.upAt && before > 0 && j >= 0 && f.deliveredAt[j] > max(f.upAt, t-3*Second) {
			r.recoveredAfter = t - f.upAt
			break
		}
	}
	r.deliveredShare = float64(len(f.deliveredAt)) / float64(f.arrivals)
	room := 0.0
	for t := f.upAt; t < end; t += Second / 10 {
		room += f.capacity(t) / 10
	}
	r.capacityUsed = float64(countAfter(f.deliveredAt, f.upAt)) / room
	return r
}

// fleetCases are days that differ in what the rule's text leaves open; the rest is drawn.
func fleetCases(senders, seeds int, faults ...fault) (cs []fleetCase) {
	n, rates := uint64(0), []float64{4, 11, 40, 120}
	if senders < 100 { // what is held by each makes long steps
		rates = rates[:3]
	}
	for seed := range uint64(seeds) {
		for told := range 3 {
			for _, how := range faults {
				for endpoints := 1; endpoints <= 2; endpoints++ {
					n++
					rnd := rand.New(rand.NewPCG(seed*1000+n, 5))
					cs = append(cs, fleetCase{senders: senders, endpoints: endpoints, limitSource: told, fault: how,
						unevenLoad: rnd.IntN(3) > 0, restarts: rnd.IntN(3) == 0, ruleIndex: rnd.IntN(len(fleetRules)),
						limitRPS: rates[rnd.IntN(len(rates))], seed: seed*1000 + n})
				}
			}
		}
	}
	return cs
}

// A cold destination falls under the sum of what all send; the rule is broken if over two thirds of that came from
// senders that knew. Each has only what it saw itself.
func checkFleetKeepsUp(t *testing.T, seeds int, faults ...fault) {
	t.Helper()
	for _, senders := range []int{20, 30, 300, 540} {
		t.Run(fmt.Sprint(senders), func(t *testing.T) {
			t.Parallel()
			var worst fleetCase
			var w fleetResult
			var wholes []Micros
			broken, served, use, days := 0, 0.0, 0.0, 0
			for _, c := range fleetCases(senders, seeds, faults...) {
				r := newFleet(t, c).play(t)
				days++
				served += r.deliveredShare
				use += r.capacityUsed
				if r.recoveredAfter < 0 {
					r.recoveredAfter = never
				}
				wholes = append(wholes, r.recoveredAfter)
				if r.worstKnownLoad > w.worstKnownLoad {
					worst, w = c, r
				}
				if r.worstKnownLoad > 1 {
					broken++
					t.Errorf("%v: %d calls in a window %.1f s after the return, %.1f would do; %v", c, r.calls, seconds(r.windowEnd), r.bound, r.callsByPath)
				}
			}
			slices.Sort(wholes)
			t.Logf("%d senders, %d days, %d broken: worst margin %.2f, %d calls of %.1f, %.1f s after the return, %v\n  %v", senders,
				days, broken, w.worstKnownLoad, w.calls, w.bound, seconds(w.windowEnd), w.callsByPath, worst)
			t.Logf("%d senders: whole after a median of %.1f s, nine in ten after %.1f s; served %.2f, room used after the return %.2f",
				senders, seconds(wholes[days/2]), seconds(wholes[days*9/10]), served/float64(days), use/float64(days))
		})
	}
}

func TestFleetDoesNotOverloadARecoveringDestination(t *testing.T) {
	checkFleetKeepsUp(t, *fleetSeeds, faultHang, faultRefuse, faultReset, faultError)
}

// The same for a destination that was shut: it turned all calls away unseen, with neither a wait nor a report.
func TestFleetDoesNotOverloadADestinationThatRejectedAll(t *testing.T) {
	checkFleetKeepsUp(t, 4**fleetSeeds, faultReject)
}

// Where nothing is out, calls that break by chance must not make a fleet slow: what each sender doubts for a while has
// its price.
func TestFleetDeliversDespiteChanceFailures(t *testing.T) {
	for _, x := range []struct {
		senders             int
		rate, load          float64
		told                int
		stray, served, soon float64 // least shares of the messages
	}{
		{300, 11, 0.7, 2, 0.02, 0.86, 0.78},
		{300, 120, 0.7, 0, 0.02, 0.96, 0.95},
		{300, 40, 0.8, 1, 0.005, 0.94, 0.90},
		{300, 40, 1.1, 0, 0.005, 0.82, 0.70},
	} {
		soon, served, calls := 0.0, 0.0, 0.0
		for seed := range uint64(4) {
			f := newFleet(t, fleetCase{senders: x.senders, endpoints: 1 + int(seed)%2, limitSource: x.told, fault: faultNone, unevenLoad: true,
				limitRPS: x.rate, loadShare: x.load, chanceFailureRate: x.stray, seed: seed})
			f.play(t)
			soon += float64(f.deliveredWithinAim) / float64(f.arrivals) / 4
			served += float64(len(f.deliveredAt)) / float64(f.arrivals) / 4
			calls += float64(f.calls) / float64(f.arrivals) / 4
		}
		t.Logf("%+v: served %.3f, within the aim %.3f, calls %.2f", x, served, soon, calls)
		if served < x.served || soon < x.soon {
			t.Errorf("%+v: served %.3f, within the aim %.3f", x, served, soon)
		}
	}
}

// Where one of two endpoints is down and the other takes all, a fleet must not hold back for long.
func TestFleetDeliversWithOneEndpointDown(t *testing.T) {
	for _, x := range []struct {
		senders      int
		rate         float64
		told         int
		how          fault
		served, soon float64 // least shares of the messages
	}{
		{20, 11, 0, faultRefuse, 0.84, 0.58},
		{300, 120, 1, faultHang, 0.92, 0.74},
		{300, 40, 1, faultRefuse, 0.84, 0.67},
		{300, 40, 0, faultReset, 0.88, 0.82},
	} {
		soon, served := 0.0, 0.0
		for seed := range uint64(6) {
			f := newFleet(t, fleetCase{senders: x.senders, endpoints: 2, limitSource: x.told, fault: x.how, unevenLoad: true,
				limitRPS: x.rate, loadShare: 0.6, firstEndpointOnly: true, seed: seed})
			f.play(t)
			soon += float64(f.deliveredWithinAim) / float64(f.arrivals) / 6
			served += float64(len(f.deliveredAt)) / float64(f.arrivals) / 6
		}
		t.Logf("%+v: served %.3f, within the aim %.3f", x, served, soon)
		if served < x.served || soon < x.soon {
			t.Errorf("%+v: served %.3f, within the aim %.3f", x, served, soon)
		}
	}
}

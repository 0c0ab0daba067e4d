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
	hangs fault = iota
	refuses
	resets
	shuts // turns all away unseen
	fails // four calls in five
	well  // not at all
)

// fleetCase is one deployment and its day. What is drawn from the seed is not in it.
type fleetCase struct {
	senders, endpoints int
	told               int // how the limit is told: 0 not, 1 in the list, 2 in the list and with each answer
	fault              fault
	uneven, restarts   bool
	rules              int // index of fleetRules
	rate               float64
	load               float64 // traffic over the limit; 0: drawn
	stray              float64 // share of calls that break by chance
	partly             bool    // only the first endpoint is down, and the others take all that the limit allows
	seed               uint64
}

func (c fleetCase) String() string {
	return fmt.Sprintf("%d senders, %d endpoints, %s, %s, limit %.0f, rules %d, uneven %v, restarts %v, seed %d", c.senders,
		c.endpoints, []string{"no limit told", "limit in the list", "limit in answers"}[c.told],
		[]string{"hangs", "refuses", "resets", "shuts", "fails", "well"}[c.fault], c.rate, c.rules, c.uneven, c.restarts, c.seed)
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
	c        fleetCase
	set      Settings
	rnd      *rand.Rand
	now      Micros
	queue    fleetQueue
	seq      int
	nodes    []*fleetNode
	down, up Micros
	taken    []Micros // calls that the destination took
	pushes   []push   // calls that reached it since its return
	served   []Micros
	came     int
	soon     int // served within the aim
	calls    int
}

// push is a call that reached the cold destination.
type push struct {
	at   Micros
	told bool   // its sender had been told of the outage
	path string // what let it through
}

type fleetNode struct {
	s      *Sender
	index  int
	weight float64
	life   int
	dead   bool
	told   bool
	msgs   map[string]*fleetMsg
}

type fleetMsg struct {
	id       string
	class    int
	deadline Micros
	tries    int
	mayRun   bool
	firstMay Micros
	back     int // times that its client came again
	out      *fleetTry
}

type fleetTry struct{ over bool }

type fleetItem struct {
	at  Micros
	seq int
	do  func()
}

type fleetQueue []fleetItem

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q fleetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetItem)) }
func (q *fleetQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (f *fleet) at(t Micros, do func()) {
	f.seq++
	heap.Push(&f.queue, fleetItem{max(t, f.now), f.seq, do})
}

// span is a random span.
func (f *fleet) span(least, most Micros) Micros {
	return least + Micros(f.rnd.Int64N(int64(most-least+1)))
}

func newFleet(t *testing.T, c fleetCase) *fleet {
	t.Helper()
	r := fleetRules[c.rules]
	set := Settings{Senders: c.senders, Zones: 1, Slots: 16, MaxOpen: 200, MaxTries: 6, Tick: 5000, MayCancel: true, RetryAfter: true,
		Halves: true, MaxRetryAfter: 2 * Second, DrainGrace: Second, ConnIdle: 5 * Second, ConnCalls: 4,
		Classes: []Class{
			{Name: "a", Aim: 2 * Second, Deadline: 25 * Second, Worth: 1, LateWorth: 0.3},
			{Name: "b", Aim: 3 * Second, Deadline: 18 * Second, Worth: 1, LateWorth: 0.4, Effect: Unsafe},
			{Name: "c", Aim: Second, Deadline: 9 * Second, Worth: 1, LateWorth: 0.4, Effect: Keyed, Window: 6 * Second}},
		Kinds: []Kind{{Name: "k", Batch: 1}}, FallMultiple: r.multiple, FallWindow: r.window, ColdFrom: r.from,
		WarmAfter: r.warm, ReportLeft: -1, ReportLimit: -1}
	if c.told > 0 {
		set.Weights = WeightsNominal
	}
	if c.told > 1 {
		set.ReportLeft, set.ReportLimit = 0, 1
	}
	f := &fleet{c: c, set: set, rnd: rand.New(rand.NewPCG(c.seed, uint64(c.senders)))}
	f.down = 10*Second + f.span(0, 2*Second)
	f.up = f.down + f.span(7*Second/2, 15*Second)
	for i := range c.senders {
		n := &fleetNode{index: i, weight: 1}
		if c.uneven && f.rnd.IntN(6) == 0 {
			n.weight = 3 + 3*f.rnd.Float64()
		}
		f.nodes = append(f.nodes, n)
		f.start(t, n)
	}
	return f
}

// start begins a life of a sender.
func (f *fleet) start(t *testing.T, n *fleetNode) {
	s, err := New(f.set, f.rnd.Uint64())
	if err != nil {
		t.Fatal(err)
	}
	old := n.msgs
	n.s, n.dead, n.told, n.msgs = s, false, false, map[string]*fleetMsg{}
	n.life++
	ev := Endpoints{Form: ListFull}
	for i := range f.c.endpoints {
		row := Entry{Endpoint: EndpointID(i + 1), Dest: 9}
		if f.c.told > 0 {
			row.Nominal = f.c.rate
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
		if m.out != nil {
			m.mayRun = true
		}
		if m.out = nil; m.deadline <= f.now {
			continue
		}
		n.msgs[id] = m
		evs = append(evs, Call{ID: id, Left: m.deadline - f.now, Dest: 9, Tenant: -1, Class: m.class,
			Past: Past{Kept: true, Tries: m.tries, MayRun: m.mayRun, Age: f.now - m.firstMay}})
	}
	f.step(n, evs...)
}

// kill ends a life; the next begins after a while with what was kept.
func (f *fleet) kill(t *testing.T, n *fleetNode) {
	n.dead = true
	n.life++
	f.at(f.now+f.span(Second/2, 2*Second), func() { f.start(t, n) })
}

// arrive lets the next message come, and so on until the end.
func (f *fleet) arrive(rate float64, end Micros) {
	total := 0.0
	for _, n := range f.nodes {
		total += n.weight
	}
	var next func()
	next = func() {
		x := f.rnd.Float64() * total
		pick := f.nodes[len(f.nodes)-1]
		for _, n := range f.nodes {
			if x -= n.weight; x < 0 {
				pick = n
				break
			}
		}
		f.came++
		ci := [...]int{0, 0, 0, 0, 0, 0, 1, 1, 1, 2}[f.rnd.IntN(10)]
		f.hand(pick, &fleetMsg{id: fmt.Sprint("m", f.came), class: ci, deadline: f.now + f.set.Classes[ci].Deadline})
		if t := f.now + 1 + Micros(f.rnd.ExpFloat64()/rate*float64(Second)); t < end {
			f.at(t, next)
		}
	}
	f.at(0, next)
}

// hand gives a message to a sender, or to another one while that is down.
func (f *fleet) hand(n *fleetNode, m *fleetMsg) {
	for n.dead {
		n = f.nodes[f.rnd.IntN(len(f.nodes))]
	}
	n.msgs[m.id] = m
	f.step(n, Call{ID: m.id, Left: m.deadline - f.now, Dest: 9, Tenant: -1, Class: m.class})
}

func (f *fleet) step(n *fleetNode, evs ...Event) {
	life := n.life
	for _, a := range n.s.Step(f.now, evs) {
		switch a := a.(type) {
		case CallOut:
			f.call(n, a)
		case Cancel:
			if m := n.msgs[a.ID]; m != nil && m.out != nil {
				try, n0 := m.out, m.tries-1
				f.at(f.now+5000, func() { f.land(n, life, m, try, Reply{Attempt: n0, Outcome: Recalled}) })
			}
		case SetTimer:
			f.at(f.now+a.Wait, func() {
				if n.life == life {
					f.step(n, Due{a.Token})
				}
			})
		case Refuse:
			m := n.msgs[a.ID]
			delete(n.msgs, a.ID)
			back := f.now + a.RetryIn + f.span(0, Second)
			if m.back++; m.back > 2 || back+Second > m.deadline || f.rnd.IntN(3) == 0 {
				continue
			}
			again := &fleetMsg{id: fmt.Sprint(m.id, "x"), class: m.class, deadline: m.deadline, back: m.back}
			f.at(back, func() { f.hand(f.nodes[f.rnd.IntN(len(f.nodes))], again) })
		case Fail:
			if m := n.msgs[a.ID]; m != nil && m.out == nil {
				delete(n.msgs, a.ID)
			}
		}
	}
}

// call sends one attempt to the destination.
func (f *fleet) call(n *fleetNode, a CallOut) {
	m, life, at := n.msgs[a.ID], n.life, f.now
	f.calls++
	try := &fleetTry{}
	no := m.tries
	m.tries++
	m.out = try
	if !m.mayRun {
		m.firstMay = f.now
	}
	e := n.s.eps[a.Endpoint]
	p := push{told: n.told, path: "free"}
	switch {
	case e.suspect:
		p.path = "trial"
	case slices.ContainsFunc(e.dest.eps, func(x *endpoint) bool { return x.cold }):
		p.path = "budget"
	}
	if n.s.msgs[a.ID].untried {
		p.path += ", kept"
	}
	land := func(after Micros, o Outcome, wait Micros, load []float64) {
		f.at(f.now+after, func() {
			f.land(n, life, m, try, Reply{Attempt: no, Endpoint: a.Endpoint, Outcome: o, Took: f.now - at, Wait: wait, Load: load})
		})
	}
	f.at(at+a.GiveUp, func() {
		f.land(n, life, m, try, Reply{Attempt: no, Endpoint: a.Endpoint, Outcome: Overdue, Took: a.GiveUp})
	})
	f.at(at+f.span(5000, 15_000), func() {
		if f.rnd.Float64() < f.c.stray {
			land(f.span(5000, 60_000), Severed, 0, nil)
			return
		}
		if f.now >= f.down && f.now < f.up && f.c.fault != well && (a.Endpoint == 1 || !f.c.partly) {
			switch f.c.fault {
			case refuses:
				land(f.span(5000, 15_000), RefusedConn, 0, nil)
			case resets:
				land(f.span(5000, 60_000), Severed, 0, nil)
			case shuts:
				land(f.span(5000, 15_000), Full, 0, nil)
			case fails:
				o := Errored
				if f.rnd.IntN(5) == 0 {
					o = Completed
				}
				land(f.span(5000, 60_000), o, 0, nil)
			}
			return
		}
		if f.now >= f.up {
			p.at = f.now
			f.pushes = append(f.pushes, p)
		}
		// What it has room for within a second is taken, the rest turned away unseen.
		room := f.capacity(f.now)
		used := float64(since(f.taken, f.now-Second))
		var load []float64
		if f.c.told > 1 {
			load = []float64{max(0, 1-(used+1)/room), f.c.rate}
		}
		if used+1 > max(room, 1) {
			wait := Micros(0)
			if f.rnd.IntN(2) == 0 {
				wait = f.span(100_000, 900_000)
			}
			land(f.span(5000, 15_000), Full, wait, load)
			return
		}
		f.taken = append(f.taken, f.now)
		land(f.span(30_000, 300_000), Completed, 0, load)
	})
}

// capacity is what the destination takes now, in calls a second.
func (f *fleet) capacity(t Micros) float64 {
	if t < f.up || f.c.fault == well || f.c.partly {
		return f.c.rate
	}
	part := f.set.ColdFrom + (1-f.set.ColdFrom)*min(1, seconds(t-f.up)/seconds(f.set.WarmAfter))
	return f.c.rate * part
}

// land brings the outcome of an attempt, once, unless its sender has died.
func (f *fleet) land(n *fleetNode, life int, m *fleetMsg, try *fleetTry, r Reply) {
	if try.over || n.life != life {
		return
	}
	try.over, m.out = true, nil
	r.ID = m.id
	if r.Outcome == Completed {
		r.NoMore = true
		delete(n.msgs, m.id)
		f.served = append(f.served, f.now)
		if f.now <= m.deadline-f.set.Classes[m.class].Deadline+f.set.Classes[m.class].Aim {
			f.soon++
		}
	}
	if r.Outcome != RefusedConn && r.Outcome != Full {
		m.mayRun = true
	}
	e := n.s.msgs[m.id]
	if e == nil || e.over {
		r.NoMore = true
		delete(n.msgs, m.id)
	}
	if r.Endpoint == 0 && e != nil && e.out != nil {
		r.Endpoint = e.out.ep.id
	}
	f.step(n, r)
	if r.Outcome != Completed && f.now >= f.down && f.now-r.Took < f.up {
		n.told = true
	}
}

// fleetResult is what a day showed.
type fleetResult struct {
	margin  float64 // the worst window: calls over N + 2 root of N + 2
	told    float64 // the same among windows of which over two thirds came from senders that had been told
	calls   int     // of that window ...
	bound   float64 // ... and what it bears
	after   Micros  // its end, since the return
	paths   map[string]int
	whole   Micros  // until four fifths of what was served before are served again, since the return; -1 if never
	share   float64 // of messages served
	perfect float64 // what the destination had room for since its return, over what it took
}

// play runs the day.
func (f *fleet) play(t *testing.T) (r fleetResult) {
	t.Helper()
	if f.c.restarts {
		for _, n := range f.nodes { // seven in ten at once, others later
			at := f.down + (f.up-f.down)/2
			switch x := f.rnd.IntN(10); {
			case x >= 9:
				continue
			case x >= 7:
				at = f.down + f.span(0, f.up-f.down)
			}
			f.at(at, func() { f.kill(t, n) })
		}
	}
	end := f.up + f.set.WarmAfter + 6*Second
	load := 0.45 + 0.4*f.rnd.Float64()
	if f.c.load > 0 {
		load = f.c.load
	}
	f.arrive(f.c.rate*load, end)
	for f.queue.Len() > 0 {
		x := heap.Pop(&f.queue).(fleetItem)
		if f.now = x.at; f.now > end {
			break
		}
		x.do()
	}
	return f.judge(end)
}

// judge holds the pushes against the rule, in the window that ends with each.
func (f *fleet) judge(end Micros) (r fleetResult) {
	from, told := 0, 0
	for i, p := range f.pushes {
		if p.at > f.up+f.set.WarmAfter {
			break // as warm as ever
		}
		if p.told {
			told++
		}
		for f.pushes[from].at <= p.at-f.set.FallWindow {
			if f.pushes[from].told {
				told--
			}
			from++
		}
		n := i - from + 1
		most := f.set.FallMultiple * f.capacity(p.at) * seconds(f.set.FallWindow)
		most += 2*math.Sqrt(most) + 2
		x := float64(n) / most
		r.margin = max(r.margin, x)
		if 3*told > 2*n && x > r.told {
			r.told, r.calls, r.bound, r.after, r.paths = x, n, most, p.at-f.up, map[string]int{}
			for _, q := range f.pushes[from : i+1] {
				if !q.told {
					q.path += " of the untold"
				}
				r.paths[q.path]++
			}
		}
	}
	before := float64(since(f.served, f.down-8*Second)-since(f.served, f.down)) / 8
	r.whole = -1
	for i, t := range f.served {
		if j := i - int(0.8*before*3); t > f.up && before > 0 && j >= 0 && f.served[j] > max(f.up, t-3*Second) {
			r.whole = t - f.up
			break
		}
	}
	r.share = float64(len(f.served)) / float64(f.came)
	room := 0.0
	for t := f.up; t < end; t += Second / 10 {
		room += f.capacity(t) / 10
	}
	r.perfect = float64(since(f.served, f.up)) / room
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
					cs = append(cs, fleetCase{senders: senders, endpoints: endpoints, told: told, fault: how,
						uneven: rnd.IntN(3) > 0, restarts: rnd.IntN(3) == 0, rules: rnd.IntN(len(fleetRules)),
						rate: rates[rnd.IntN(len(rates))], seed: seed*1000 + n})
				}
			}
		}
	}
	return cs
}

// A cold destination falls under the sum of what all send; the rule is broken if over two thirds of that came from
// senders that knew. Each has only what it saw itself.
func keepsUp(t *testing.T, seeds int, faults ...fault) {
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
				served += r.share
				use += r.perfect
				if r.whole < 0 {
					r.whole = never
				}
				wholes = append(wholes, r.whole)
				if r.told > w.told {
					worst, w = c, r
				}
				if r.told > 1 {
					broken++
					t.Errorf("%v: %d calls in a window %.1f s after the return, %.1f would do; %v", c, r.calls, seconds(r.after), r.bound, r.paths)
				}
			}
			slices.Sort(wholes)
			t.Logf("%d senders, %d days, %d broken: worst margin %.2f, %d calls of %.1f, %.1f s after the return, %v\n  %v", senders,
				days, broken, w.told, w.calls, w.bound, seconds(w.after), w.paths, worst)
			t.Logf("%d senders: whole after a median of %.1f s, nine in ten after %.1f s; served %.2f, room used after the return %.2f",
				senders, seconds(wholes[days/2]), seconds(wholes[days*9/10]), served/float64(days), use/float64(days))
		})
	}
}

func TestFleetKeepsAColdDestinationUp(t *testing.T) {
	keepsUp(t, *fleetSeeds, hangs, refuses, resets, fails)
}

// The same for a destination that was shut: it turned all calls away unseen, with neither a wait nor a report.
func TestFleetKeepsADestinationUpThatWasShut(t *testing.T) {
	keepsUp(t, 4**fleetSeeds, shuts)
}

// Where nothing is out, calls that break by chance must not make a fleet slow: what each sender doubts for a while has
// its price.
func TestFleetAtStrayBreaks(t *testing.T) {
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
			f := newFleet(t, fleetCase{senders: x.senders, endpoints: 1 + int(seed)%2, told: x.told, fault: well, uneven: true,
				rate: x.rate, load: x.load, stray: x.stray, seed: seed})
			f.play(t)
			soon += float64(f.soon) / float64(f.came) / 4
			served += float64(len(f.served)) / float64(f.came) / 4
			calls += float64(f.calls) / float64(f.came) / 4
		}
		t.Logf("%+v: served %.3f, within the aim %.3f, calls %.2f", x, served, soon, calls)
		if served < x.served || soon < x.soon {
			t.Errorf("%+v: served %.3f, within the aim %.3f", x, served, soon)
		}
	}
}

// Where one of two endpoints is down and the other takes all, a fleet must not hold back for long.
func TestFleetWithOneEndpointDown(t *testing.T) {
	for _, x := range []struct {
		senders      int
		rate         float64
		told         int
		how          fault
		served, soon float64 // least shares of the messages
	}{
		{20, 11, 0, refuses, 0.84, 0.58},
		{300, 120, 1, hangs, 0.92, 0.74},
		{300, 40, 1, refuses, 0.84, 0.67},
		{300, 40, 0, resets, 0.88, 0.82},
	} {
		soon, served := 0.0, 0.0
		for seed := range uint64(6) {
			f := newFleet(t, fleetCase{senders: x.senders, endpoints: 2, told: x.told, fault: x.how, uneven: true,
				rate: x.rate, load: 0.6, partly: true, seed: seed})
			f.play(t)
			soon += float64(f.soon) / float64(f.came) / 6
			served += float64(len(f.served)) / float64(f.came) / 6
		}
		t.Logf("%+v: served %.3f, within the aim %.3f", x, served, soon)
		if served < x.served || soon < x.soon {
			t.Errorf("%+v: served %.3f, within the aim %.3f", x, served, soon)
		}
	}
}

package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// baseSettings is a plain deployment: two senders, one safe, one keyed and one unsafe class, one kind of destination.
func baseSettings() Settings {
	return Settings{Senders: 2, Zones: 1, Slots: 8, MaxOpen: 60, MaxTries: 6, Tick: 5000, MayCancel: true, AdviseRetry: true,
		Classes: []Class{
			{Name: "a", Aim: Second, Deadline: 10 * Second, Worth: 1, LateWorth: 0.5},
			{Name: "b", Aim: 2 * Second, Deadline: 12 * Second, Worth: 2, LateWorth: 0.4, Effect: Keyed, Window: 8 * Second},
			{Name: "c", Aim: 2 * Second, Deadline: 14 * Second, Worth: 4, LateWorth: 0.3, Effect: Unsafe}},
		Kinds: []Kind{{Name: "k", Batch: 1}}, MaxRetryAfter: 2 * Second, DrainGrace: Second, FallMultiple: 2,
		FallWindow: 2 * Second, ColdFrom: 0.2, WarmAfter: 14 * Second, LimitLeftIndex: -1, LimitIndex: -1}
}

// harness drives one Sender by hand.
type harness struct {
	t            *testing.T
	sender       *Sender
	messageCount int
}

func newHarness(t *testing.T, set Settings) *harness {
	t.Helper()
	s, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, sender: s}
}

func fromSeconds(x float64) Micros { return Micros(x * float64(Second)) }

func (r *harness) step(at float64, evs ...Event) []Action {
	r.t.Helper()
	return r.sender.Step(fromSeconds(at), evs)
}

// fullList makes a whole list of n endpoints, from 1 on, of destination 9.
func fullList(n int) ListUpdate {
	ev := ListUpdate{Form: ListFull}
	for i := 1; i <= n; i++ {
		ev.Entries = append(ev.Entries, Entry{Endpoint: EndpointID(i), Destination: 9})
	}
	return ev
}

func (r *harness) newMessage(class int) NewMessage {
	r.messageCount++
	return NewMessage{ID: fmt.Sprintf("m%d", r.messageCount), TimeLeft: r.sender.settings.Classes[class].Deadline, Destination: 9, Tenant: -1, Class: class}
}

func resultOf(id string, ep EndpointID, attempt int, o Outcome) AttemptResult {
	return AttemptResult{ID: id, Endpoint: ep, Attempt: attempt, Outcome: o, Duration: fromSeconds(0.1), MessageEnded: o == Completed}
}

func actionsOf[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// ruleChecker plays random legal outcomes against a Sender and asserts the six rules. It models no server.
type ruleChecker struct {
	t                   *testing.T
	settings            Settings
	rnd                 *rand.Rand
	sender              *Sender
	now                 Micros
	messages            map[string]*ruleMessage
	messageIDs          []string
	openMessages        []*ruleMessage
	endpoints           map[EndpointID]*ruleEndpoint
	endpointIDs         []EndpointID
	pending             []ruleEvent
	waitUntil           map[string]Micros
	asked               map[EndpointID]int
	byOrderKey          map[string][]*ruleMessage
	quietUntil          map[string]Micros
	quietOwner          map[string]*ruleMessage
	slotsInUse          int
	outage              [2]Micros // all of destination 1 refuses connections
	outageSeen          bool
	sentWhileRecovering []Micros
	sentBeforeOutage    []Micros
	peakRate            float64
	trace               []string
	handoverInterval    Micros // mean time between two senders that go on for each other; 0 for one sender all day
	handovers           int
}

type ruleMessage struct {
	id                string
	class             Class
	destination       int64
	key               string
	deadline          Micros
	ended, inFlight   bool
	mayHaveRun        bool
	firstMayHaveRunAt Micros
	mayHaveRunZone    int
	tries             int
}

type ruleEndpoint struct {
	entry    Entry
	closedAt Micros // when it was told to drain or go
	closed   bool
}

type ruleEvent struct {
	at      Micros
	event   Event
	message *ruleMessage
	call    *ruleCall
}

type ruleCall struct{ pending int }

func (w *ruleChecker) limiterKey(e *ruleEndpoint) string {
	if w.settings.Kinds[e.entry.Kind].SeparateRoutes {
		return fmt.Sprint("route", e.entry.Endpoint)
	}
	return fmt.Sprint("dest", e.entry.Destination)
}

func (w *ruleChecker) fatalf(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %d: "+format, append([]any{w.now}, args...)...)
}

func newRuleChecker(t *testing.T, set Settings, seed uint64) *ruleChecker {
	s, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &ruleChecker{t: t, settings: set, rnd: rand.New(rand.NewPCG(seed, 1)), sender: s, messages: map[string]*ruleMessage{},
		endpoints: map[EndpointID]*ruleEndpoint{}, waitUntil: map[string]Micros{}, asked: map[EndpointID]int{},
		byOrderKey: map[string][]*ruleMessage{}, quietUntil: map[string]Micros{}, quietOwner: map[string]*ruleMessage{},
		outage: [2]Micros{12 * Second, 20 * Second}}
}

// play runs 40 seconds of random traffic.
func (w *ruleChecker) play() {
	var first ListUpdate
	first.Form = ListCached
	for i := 0; i < 8; i++ {
		row := Entry{Endpoint: EndpointID(100 + i), Destination: int64(1 + i/2), Kind: (i / 2) % len(w.settings.Kinds),
			Zone: i % max(w.settings.Zones, 1), Nominal: 6}
		w.endpoints[row.Endpoint] = &ruleEndpoint{entry: row}
		w.endpointIDs = append(w.endpointIDs, row.Endpoint)
		first.Entries = append(first.Entries, row)
	}
	w.step(first)
	next := Micros(0)
	for w.now < 60*Second {
		w.now += w.settings.Tick
		var evs []Event
		evs = append(evs, w.takeDue()...)
		if w.now < 40*Second && w.now >= next {
			next = w.now + Micros(w.rnd.IntN(150_000))
			evs = append(evs, w.arrival())
			if w.rnd.IntN(40) == 0 { // a clump
				for range 15 {
					evs = append(evs, w.arrival())
				}
			}
		}
		if w.rnd.IntN(1500) == 0 {
			evs = append(evs, w.listChange())
		}
		if w.rnd.IntN(900) == 0 && len(w.messageIDs) > 0 {
			m := w.messages[w.messageIDs[w.rnd.IntN(len(w.messageIDs))]]
			m.ended = true // withdrawn, or ended long ago
			evs = append(evs, ClientGone{m.id}, ClientGone{"nobody"}, TimerExpired{3})
		}
		if len(evs) > 0 {
			w.step(evs...)
		}
		if w.handoverInterval > 0 && w.now%w.handoverInterval < w.settings.Tick {
			w.handOver()
		}
		w.openMessages = slices.DeleteFunc(w.openMessages, func(m *ruleMessage) bool { return m.ended })
		for _, m := range w.openMessages {
			if w.now > m.deadline {
				w.fatalf("message %s of class %s has no answer at its deadline", m.id, m.class.Name)
			}
		}
	}
}

func (w *ruleChecker) arrival() Event {
	ci := w.rnd.IntN(len(w.settings.Classes))
	c := w.settings.Classes[ci]
	m := &ruleMessage{id: fmt.Sprint("r", len(w.messageIDs)), class: c, destination: int64(1 + w.rnd.IntN(5))}
	left := c.Deadline
	if w.rnd.IntN(5) == 0 {
		left = c.Deadline / 3
	}
	if c.KeepOrder {
		m.key = fmt.Sprint("k", w.rnd.IntN(4))
		w.byOrderKey[m.key] = append(w.byOrderKey[m.key], m)
	}
	m.deadline = w.now + left
	w.messages[m.id] = m
	w.messageIDs = append(w.messageIDs, m.id)
	w.openMessages = append(w.openMessages, m)
	tenant := -1
	if n := len(w.settings.Tenants); n > 0 {
		tenant = w.rnd.IntN(n)
	}
	return NewMessage{ID: m.id, TimeLeft: left, Key: m.key, Destination: m.destination, Tenant: tenant, Class: ci}
}

// listChange drains, removes or adds an endpoint.
func (w *ruleChecker) listChange() Event {
	id := w.endpointIDs[w.rnd.IntN(len(w.endpointIDs))]
	e := w.endpoints[id]
	row := e.entry
	switch w.rnd.IntN(3) {
	case 0:
		row.State = Draining
	case 1:
		row.State = Removed
	}
	if row.State == Ready {
		e.closed = false
	} else if !e.closed {
		e.closed, e.closedAt = true, w.now
	}
	return ListUpdate{Form: ListDelta, Entries: []Entry{row}}
}

func (w *ruleChecker) takeDue() (evs []Event) {
	var rest []ruleEvent
	for _, q := range w.pending {
		if q.at > w.now {
			rest = append(rest, q)
			continue
		}
		if r, ok := q.event.(AttemptResult); ok {
			q.event = w.finishAttempt(r, q.message, q.call)
		}
		evs = append(evs, q.event)
	}
	w.pending = rest
	return evs
}

// finishAttempt applies the outcome of an attempt to what the rules know.
func (w *ruleChecker) finishAttempt(r AttemptResult, m *ruleMessage, c *ruleCall) AttemptResult {
	if c.pending--; c.pending == 0 {
		w.slotsInUse--
	}
	m.inFlight = false
	if r.Outcome != Rejected && r.Outcome != ConnRefused && r.Outcome != NotSent {
		m.mayHaveRun = true
	}
	if r.Outcome == Completed {
		m.ended = true
	}
	r.MessageEnded = m.ended
	if m.key != "" && (r.Outcome == TimedOut || r.Outcome == ConnBroken || r.Outcome == Cancelled) {
		w.quietUntil[m.key], w.quietOwner[m.key] = w.now+w.settings.KeyQuiet, m
	}
	e := w.endpoints[r.Endpoint]
	if r.RetryAfter > 0 {
		w.waitUntil[w.limiterKey(e)] = max(w.waitUntil[w.limiterKey(e)], w.now+r.RetryAfter)
	}
	if e.entry.Destination == 1 && w.now > w.outage[0] && w.now < w.outage[1] && r.Outcome == ConnRefused {
		w.outageSeen = true
	}
	return r
}

func (w *ruleChecker) outcome(e *ruleEndpoint) (Outcome, Micros, Micros) {
	if e.entry.Destination == 1 && w.now > w.outage[0] && w.now < w.outage[1] {
		return ConnRefused, 20_000, 0
	}
	took := Micros(20_000 + w.rnd.IntN(300_000))
	switch x := w.rnd.IntN(100); {
	case x < 70:
		return Completed, took, 0
	case x < 76:
		return Errored, took, 0
	case x < 80:
		return ConnBroken, took, 0
	case x < 84:
		return ConnRefused, took, 0
	case x < 94:
		wait := Micros(0)
		if w.rnd.IntN(2) == 0 {
			wait = Micros(w.rnd.IntN(3_000_000))
		}
		return Rejected, 20_000, wait
	}
	return TimedOut, never, 0 // silent: ends when given up or called off
}

// step makes one step and checks all its actions.
func (w *ruleChecker) step(evs ...Event) {
	opened := map[EndpointID]*ruleCall{}
	count := map[EndpointID]int{}
	for _, a := range w.sender.Step(w.now, evs) {
		w.trace = append(w.trace, fmt.Sprintf("%d %#v", w.now, a))
		switch a := a.(type) {
		case CallOut:
			m, e := w.messages[a.ID], w.endpoints[a.Endpoint]
			w.checkSend(m, e)
			c := opened[a.Endpoint]
			if c == nil || count[a.Endpoint]%max(w.settings.Kinds[e.entry.Kind].Batch, 1) == 0 {
				c = &ruleCall{}
				opened[a.Endpoint] = c
				if w.slotsInUse++; w.slotsInUse > w.settings.Slots {
					w.fatalf("more calls out than slots")
				}
				w.checkBudget(e)
			}
			count[a.Endpoint]++
			c.pending++
			o, took, wait := w.outcome(e)
			if took >= a.GiveUp {
				o, took, wait = TimedOut, a.GiveUp, 0
			}
			w.pending = append(w.pending, ruleEvent{w.now + took, AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Attempt: m.tries,
				Outcome: o, Duration: took, RetryAfter: wait, Load: w.loadReport()}, m, c})
			m.tries++
		case Cancel:
			if !w.settings.MayCancel {
				w.fatalf("cancel where none is allowed")
			}
			for i, q := range w.pending {
				if r, ok := q.event.(AttemptResult); ok && r.ID == a.ID && r.Attempt == a.Attempt {
					r.Outcome, r.RetryAfter = Cancelled, 0
					w.pending[i].event, w.pending[i].at = r, w.now+w.settings.Tick
				}
			}
		case Refuse:
			m := w.messages[a.ID]
			if m.ended && m.deadline > w.now && !m.class.KeepOrder && m.inFlight {
				w.fatalf("refused a message with an attempt out")
			}
			if m.mayHaveRun && m.class.Effect == Unsafe || m.mayHaveRun && m.class.ByZone || m.inFlight {
				w.fatalf("refused %s, which may have run", a.ID)
			}
			if a.RetryIn > w.settings.MaxRetryAfter || a.RetryIn > 0 && !w.settings.AdviseRetry {
				w.fatalf("advice of %d", a.RetryIn)
			}
			w.endMessage(m)
		case Fail:
			w.endMessage(w.messages[a.ID])
		case SetTimer:
			w.pending = append(w.pending, ruleEvent{w.now + max(a.Wait, 1), TimerExpired{a.Token}, nil, nil})
		case Probe:
			if !w.settings.MayProbe {
				w.fatalf("probe where none is allowed")
			}
			e := w.endpoints[a.Endpoint]
			w.checkEndpoint(e)
			w.checkBudget(e)
			o, took, _ := w.outcome(e)
			if o == TimedOut {
				took = Second
			}
			w.pending = append(w.pending, ruleEvent{w.now + took, HealthResult{a.Endpoint, o, nil}, nil, nil})
		}
	}
}

func (w *ruleChecker) endMessage(m *ruleMessage) {
	if m.ended && !m.mayHaveRun && w.now <= m.deadline {
		w.fatalf("%s ended twice", m.id)
	}
	m.ended = true
}

func (w *ruleChecker) loadReport() []float64 {
	if w.settings.LimitIndex < 0 {
		return nil
	}
	return []float64{w.rnd.Float64(), 4 + 4*w.rnd.Float64()}
}

func (w *ruleChecker) checkEndpoint(e *ruleEndpoint) {
	if e.closed && w.now > e.closedAt+w.settings.DrainGrace {
		w.fatalf("sent to an endpoint that drains or is gone")
	}
	if w.now < w.waitUntil[w.limiterKey(e)] {
		w.fatalf("sent before a told wait was over")
	}
}

func (w *ruleChecker) checkSend(m *ruleMessage, e *ruleEndpoint) {
	w.checkEndpoint(e)
	c := m.class
	switch {
	case m.ended:
		w.fatalf("sent %s after its end", m.id)
	case m.inFlight:
		w.fatalf("two attempts of %s at once", m.id)
	case e.entry.Destination != m.destination:
		w.fatalf("sent %s elsewhere", m.id)
	case m.mayHaveRun && c.Effect == Unsafe:
		w.fatalf("unsafe %s sent again", m.id)
	case m.mayHaveRun && c.Effect == Keyed && (w.now > m.firstMayHaveRunAt+c.Window || c.ByZone && e.entry.Zone != m.mayHaveRunZone):
		w.fatalf("keyed %s sent outside its group or window", m.id)
	case w.settings.MaxTries > 0 && m.tries >= w.settings.MaxTries:
		w.fatalf("too many attempts of %s", m.id)
	}
	if m.key != "" {
		for _, x := range w.byOrderKey[m.key] {
			if x == m {
				break
			}
			if !x.ended || x.inFlight {
				w.fatalf("%s sent before %s of its key was over", m.id, x.id)
			}
		}
		if w.now < w.quietUntil[m.key] && w.quietOwner[m.key] != m {
			w.fatalf("%s sent while its key rests", m.id)
		}
	}
	m.inFlight = true
	if !m.mayHaveRun {
		m.firstMayHaveRunAt, m.mayHaveRunZone = w.now, e.entry.Zone
	}
}

// checkBudget holds what goes to destination 1 after its outage against the figures of the rule, for one sender
// that takes no more than its share, plus six calls for chance and for an endpoint not tried during the outage.
func (w *ruleChecker) checkBudget(e *ruleEndpoint) {
	if e.entry.Destination == 1 && w.now < w.outage[0] {
		w.sentBeforeOutage = append(w.sentBeforeOutage, w.now)
		w.peakRate = max(w.peakRate, float64(countAfter(w.sentBeforeOutage, w.now-Second)))
	}
	if e.entry.Destination != 1 || !w.outageSeen || w.now < w.outage[1] || w.now > w.outage[1]+w.settings.WarmAfter {
		return
	}
	up := w.settings.ColdFrom + (1-w.settings.ColdFrom)*seconds(w.now-w.outage[1])/seconds(w.settings.WarmAfter)
	routes := 1.0
	if w.settings.Kinds[e.entry.Kind].SeparateRoutes {
		routes = 2
	}
	limit := 8.0 // the most that a report tells; where none is told, the sender's best second stands for it
	if w.settings.Weights == WeightsOff && w.settings.LimitIndex < 0 {
		limit = max(limit, w.peakRate)
	}
	most := w.settings.FallMultiple*up*limit*routes*seconds(w.settings.FallWindow)/float64(w.settings.Senders) + 6*routes
	w.sentWhileRecovering = append(w.sentWhileRecovering, w.now)
	if n := countAfter(w.sentWhileRecovering, w.now-w.settings.FallWindow); float64(n) > most {
		w.fatalf("%d calls in a fall window to a cold destination, want at most %.1f", n, most)
	}
}

package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// baseSettings returns a small deployment: two senders, one kind of destination, and a safe, a keyed and an unsafe
// class.
func baseSettings() Settings {
	return Settings{Senders: 2, Zones: 1, Slots: 8, MaxOpen: 60, MaxTries: 6, Tick: 5000,
		MayCancel: true, AdviseRetry: true,
		Classes: []Class{
			{Name: "a", Aim: Second, Deadline: 10 * Second, Worth: 1, LateWorth: 0.5},
			{Name: "b", Aim: 2 * Second, Deadline: 12 * Second, Worth: 2, LateWorth: 0.4, Effect: Keyed, Window: 8 * Second},
			{Name: "c", Aim: 2 * Second, Deadline: 14 * Second, Worth: 4, LateWorth: 0.3, Effect: Unsafe}},
		Kinds: []Kind{{Name: "k", Batch: 1}}, MaxRetryAfter: 2 * Second, DrainGrace: Second, FallMultiple: 2,
		FallWindow: 2 * Second, ColdFrom: 0.2, WarmAfter: 14 * Second, LimitLeftIndex: -1, LimitIndex: -1}
}

// harness drives one Sender with events that a test chooses.
type harness struct {
	t            *testing.T
	sender       *Sender
	messageCount int
}

func newHarness(t *testing.T, settings Settings) *harness {
	t.Helper()
	s, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, sender: s}
}

func fromSeconds(x float64) Micros { return Micros(x * float64(Second)) }

func (h *harness) step(at float64, evs ...Event) []Action {
	h.t.Helper()
	return h.sender.Step(fromSeconds(at), evs)
}

// fullList returns a full list of n endpoints of destination 9, with IDs from 1.
func fullList(n int) ListUpdate {
	ev := ListUpdate{Form: ListWhole}
	for i := 1; i <= n; i++ {
		ev.Entries = append(ev.Entries, Entry{Endpoint: EndpointID(i), Destination: 9})
	}
	return ev
}

func (h *harness) newMessage(class int) NewMessage {
	h.messageCount++
	return NewMessage{ID: fmt.Sprintf("m%d", h.messageCount), TimeLeft: h.sender.settings.Classes[class].Deadline,
		Destination: 9, Tenant: -1, Class: class}
}

func resultOf(messageID string, endpoint EndpointID, attempt int, outcome Outcome) AttemptResult {
	return AttemptResult{ID: messageID, Endpoint: endpoint, Attempt: attempt, Outcome: outcome, Duration: fromSeconds(0.1),
		MessageEnded: outcome == Completed}
}

func actionsOf[T Action](actions []Action) (found []T) {
	for _, a := range actions {
		if x, ok := a.(T); ok {
			found = append(found, x)
		}
	}
	return found
}

// ruleChecker feeds random but valid events and outcomes to a Sender and checks the rules that the package comment
// guarantees, except for bans and repeatability. It does not model a server.
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
	outage              [2]Micros // start and end of the time in which destination 1 refuses all connections
	outageSeen          bool
	sentWhileRecovering []Micros
	sentBeforeOutage    []Micros
	peakRate            float64
	trace               []string
	handoverInterval    Micros // time between two handovers to another Sender; 0 for none
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
	closedAt Micros // since when the list has it draining or removed
	closed   bool
}

type ruleEvent struct {
	at      Micros
	event   Event
	message *ruleMessage
	call    *ruleCall
}

type ruleCall struct{ pending int }

func (rc *ruleChecker) limiterKey(endpoint *ruleEndpoint) string {
	if rc.settings.Kinds[endpoint.entry.Kind].SeparateRoutes {
		return fmt.Sprint("route", endpoint.entry.Endpoint)
	}
	return fmt.Sprint("dest", endpoint.entry.Destination)
}

func (rc *ruleChecker) fatalf(format string, args ...any) {
	rc.t.Helper()
	rc.t.Fatalf("at %d: "+format, append([]any{rc.now}, args...)...)
}

func newRuleChecker(t *testing.T, settings Settings, seed uint64) *ruleChecker {
	s, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &ruleChecker{t: t, settings: settings, rnd: rand.New(rand.NewPCG(seed, 1)), sender: s,
		messages: map[string]*ruleMessage{}, endpoints: map[EndpointID]*ruleEndpoint{},
		waitUntil: map[string]Micros{}, asked: map[EndpointID]int{},
		byOrderKey: map[string][]*ruleMessage{}, quietUntil: map[string]Micros{}, quietOwner: map[string]*ruleMessage{},
		outage: [2]Micros{12 * Second, 20 * Second}}
}

// play runs 40 seconds of random traffic, and 20 more in which its messages end.
func (rc *ruleChecker) play() {
	var list ListUpdate
	list.Form = ListSaved
	for i := 0; i < 8; i++ {
		entry := Entry{Endpoint: EndpointID(100 + i), Destination: int64(1 + i/2), Kind: (i / 2) % len(rc.settings.Kinds),
			Zone: i % max(rc.settings.Zones, 1), Nominal: 6}
		rc.endpoints[entry.Endpoint] = &ruleEndpoint{entry: entry}
		rc.endpointIDs = append(rc.endpointIDs, entry.Endpoint)
		list.Entries = append(list.Entries, entry)
	}
	rc.step(list)
	nextArrivalAt := Micros(0)
	for rc.now < 60*Second {
		rc.now += rc.settings.Tick
		var evs []Event
		evs = append(evs, rc.takeDue()...)
		if rc.now < 40*Second && rc.now >= nextArrivalAt {
			nextArrivalAt = rc.now + Micros(rc.rnd.IntN(150_000))
			evs = append(evs, rc.arrival())
			if rc.rnd.IntN(40) == 0 { // a burst
				for range 15 {
					evs = append(evs, rc.arrival())
				}
			}
		}
		if rc.rnd.IntN(1500) == 0 {
			evs = append(evs, rc.listChange())
		}
		if rc.rnd.IntN(900) == 0 && len(rc.messageIDs) > 0 {
			m := rc.messages[rc.messageIDs[rc.rnd.IntN(len(rc.messageIDs))]]
			m.ended = true // its client is gone, or it ended earlier
			evs = append(evs, ClientGone{m.id}, ClientGone{"nobody"}, TimerExpired{3})
		}
		if len(evs) > 0 {
			rc.step(evs...)
		}
		if rc.handoverInterval > 0 && rc.now%rc.handoverInterval < rc.settings.Tick {
			rc.handOver()
		}
		rc.openMessages = slices.DeleteFunc(rc.openMessages, func(m *ruleMessage) bool { return m.ended })
		for _, m := range rc.openMessages {
			if rc.now > m.deadline {
				rc.fatalf("message %s of class %s has not ended by its deadline", m.id, m.class.Name)
			}
		}
	}
}

func (rc *ruleChecker) arrival() Event {
	classIndex := rc.rnd.IntN(len(rc.settings.Classes))
	class := rc.settings.Classes[classIndex]
	m := &ruleMessage{id: fmt.Sprint("r", len(rc.messageIDs)), class: class, destination: int64(1 + rc.rnd.IntN(5))}
	timeLeft := class.Deadline
	if rc.rnd.IntN(5) == 0 {
		timeLeft = class.Deadline / 3
	}
	if class.KeepOrder {
		m.key = fmt.Sprint("k", rc.rnd.IntN(4))
		rc.byOrderKey[m.key] = append(rc.byOrderKey[m.key], m)
	}
	m.deadline = rc.now + timeLeft
	rc.messages[m.id] = m
	rc.messageIDs = append(rc.messageIDs, m.id)
	rc.openMessages = append(rc.openMessages, m)
	tenant := -1
	if n := len(rc.settings.Tenants); n > 0 {
		tenant = rc.rnd.IntN(n)
	}
	return NewMessage{ID: m.id, TimeLeft: timeLeft, Key: m.key, Destination: m.destination, Tenant: tenant,
		Class: classIndex}
}

// listChange drains or removes an endpoint, or makes it ready again.
func (rc *ruleChecker) listChange() Event {
	id := rc.endpointIDs[rc.rnd.IntN(len(rc.endpointIDs))]
	endpoint := rc.endpoints[id]
	entry := endpoint.entry
	switch rc.rnd.IntN(3) {
	case 0:
		entry.State = Draining
	case 1:
		entry.State = Removed
	}
	if entry.State == Ready {
		endpoint.closed = false
	} else if !endpoint.closed {
		endpoint.closed, endpoint.closedAt = true, rc.now
	}
	return ListUpdate{Form: ListDelta, Entries: []Entry{entry}}
}

func (rc *ruleChecker) takeDue() (evs []Event) {
	var rest []ruleEvent
	for _, due := range rc.pending {
		if due.at > rc.now {
			rest = append(rest, due)
			continue
		}
		if r, ok := due.event.(AttemptResult); ok {
			due.event = rc.finishAttempt(r, due.message, due.call)
		}
		evs = append(evs, due.event)
	}
	rc.pending = rest
	return evs
}

// finishAttempt applies the outcome of an attempt to the checker's own state, and returns the result to hand in.
func (rc *ruleChecker) finishAttempt(result AttemptResult, message *ruleMessage, call *ruleCall) AttemptResult {
	if call.pending--; call.pending == 0 {
		rc.slotsInUse--
	}
	message.inFlight = false
	if result.Outcome != Rejected && result.Outcome != ConnRefused && result.Outcome != NotSent {
		message.mayHaveRun = true
	}
	if result.Outcome == Completed {
		message.ended = true
	}
	result.MessageEnded = message.ended
	if message.key != "" && (result.Outcome == TimedOut || result.Outcome == ConnBroken || result.Outcome == Cancelled) {
		rc.quietUntil[message.key], rc.quietOwner[message.key] = rc.now+rc.settings.KeyQuiet, message
	}
	endpoint := rc.endpoints[result.Endpoint]
	if result.RetryAfter > 0 {
		rc.waitUntil[rc.limiterKey(endpoint)] = max(rc.waitUntil[rc.limiterKey(endpoint)], rc.now+result.RetryAfter)
	}
	if endpoint.entry.Destination == 1 && rc.now > rc.outage[0] && rc.now < rc.outage[1] && result.Outcome == ConnRefused {
		rc.outageSeen = true
	}
	return result
}

func (rc *ruleChecker) outcome(endpoint *ruleEndpoint) (Outcome, Micros, Micros) {
	if endpoint.entry.Destination == 1 && rc.now > rc.outage[0] && rc.now < rc.outage[1] {
		return ConnRefused, 20_000, 0
	}
	duration := Micros(20_000 + rc.rnd.IntN(300_000))
	switch x := rc.rnd.IntN(100); {
	case x < 70:
		return Completed, duration, 0
	case x < 76:
		return Errored, duration, 0
	case x < 80:
		return ConnBroken, duration, 0
	case x < 84:
		return ConnRefused, duration, 0
	case x < 94:
		retryAfter := Micros(0)
		if rc.rnd.IntN(2) == 0 {
			retryAfter = Micros(rc.rnd.IntN(3_000_000))
		}
		return Rejected, 20_000, retryAfter
	}
	return TimedOut, never, 0 // no answer: ends at its time limit or when cancelled
}

// step makes one step of the Sender and checks all its actions.
func (rc *ruleChecker) step(evs ...Event) {
	opened := map[EndpointID]*ruleCall{}
	count := map[EndpointID]int{}
	for _, a := range rc.sender.Step(rc.now, evs) {
		rc.trace = append(rc.trace, fmt.Sprintf("%d %#v", rc.now, a))
		switch a := a.(type) {
		case CallOut:
			message, endpoint := rc.messages[a.ID], rc.endpoints[a.Endpoint]
			rc.checkSend(message, endpoint)
			openedCall := opened[a.Endpoint]
			if openedCall == nil || count[a.Endpoint]%max(rc.settings.Kinds[endpoint.entry.Kind].Batch, 1) == 0 {
				openedCall = &ruleCall{}
				opened[a.Endpoint] = openedCall
				if rc.slotsInUse++; rc.slotsInUse > rc.settings.Slots {
					rc.fatalf("more calls in flight than slots")
				}
				rc.checkBudget(endpoint)
			}
			count[a.Endpoint]++
			openedCall.pending++
			outcome, duration, retryAfter := rc.outcome(endpoint)
			if duration >= a.GiveUp {
				outcome, duration, retryAfter = TimedOut, a.GiveUp, 0
			}
			rc.pending = append(rc.pending, ruleEvent{rc.now + duration, AttemptResult{ID: a.ID, Endpoint: a.Endpoint,
				Attempt: message.tries, Outcome: outcome, Duration: duration, RetryAfter: retryAfter,
				Load: rc.loadReport()}, message, openedCall})
			message.tries++
		case Cancel:
			if !rc.settings.MayCancel {
				rc.fatalf("cancelled an attempt where MayCancel is false")
			}
			for i, queued := range rc.pending {
				if r, ok := queued.event.(AttemptResult); ok && r.ID == a.ID && r.Attempt == a.Attempt {
					r.Outcome, r.RetryAfter = Cancelled, 0
					rc.pending[i].event, rc.pending[i].at = r, rc.now+rc.settings.Tick
				}
			}
		case Refuse:
			message := rc.messages[a.ID]
			if message.ended && message.deadline > rc.now && !message.class.KeepOrder && message.inFlight {
				rc.fatalf("refused a message that has an attempt in flight")
			}
			if message.mayHaveRun && message.class.Effect == Unsafe || message.mayHaveRun && message.class.ByZone ||
				message.inFlight {
				rc.fatalf("refused %s, an attempt of which may have run", a.ID)
			}
			if a.RetryIn > rc.settings.MaxRetryAfter || a.RetryIn > 0 && !rc.settings.AdviseRetry {
				rc.fatalf("retry advice of %d us, which the settings do not allow", a.RetryIn)
			}
			rc.endMessage(message)
		case Fail:
			rc.endMessage(rc.messages[a.ID])
		case SetTimer:
			rc.pending = append(rc.pending, ruleEvent{rc.now + max(a.Wait, 1), TimerExpired{a.Token}, nil, nil})
		case Probe:
			if !rc.settings.MayProbe {
				rc.fatalf("probe where MayProbe is false")
			}
			endpoint := rc.endpoints[a.Endpoint]
			rc.checkEndpoint(endpoint)
			rc.checkBudget(endpoint)
			outcome, duration, _ := rc.outcome(endpoint)
			if outcome == TimedOut {
				duration = Second
			}
			rc.pending = append(rc.pending, ruleEvent{rc.now + duration, HealthResult{a.Endpoint, outcome, nil}, nil, nil})
		}
	}
}

func (rc *ruleChecker) endMessage(message *ruleMessage) {
	if message.ended && !message.mayHaveRun && rc.now <= message.deadline {
		rc.fatalf("message %s ended twice", message.id)
	}
	message.ended = true
}

func (rc *ruleChecker) loadReport() []float64 {
	if rc.settings.LimitIndex < 0 {
		return nil
	}
	return []float64{rc.rnd.Float64(), 4 + 4*rc.rnd.Float64()}
}

func (rc *ruleChecker) checkEndpoint(endpoint *ruleEndpoint) {
	if endpoint.closed && rc.now > endpoint.closedAt+rc.settings.DrainGrace {
		rc.fatalf("sent to an endpoint that is draining or removed, after the drain grace")
	}
	if rc.now < rc.waitUntil[rc.limiterKey(endpoint)] {
		rc.fatalf("sent before the retry-after time was over")
	}
}

func (rc *ruleChecker) checkSend(message *ruleMessage, endpoint *ruleEndpoint) {
	rc.checkEndpoint(endpoint)
	class := message.class
	switch {
	case message.ended:
		rc.fatalf("sent message %s after its end", message.id)
	case message.inFlight:
		rc.fatalf("two attempts of message %s in flight at once", message.id)
	case endpoint.entry.Destination != message.destination:
		rc.fatalf("sent message %s to another destination", message.id)
	case message.mayHaveRun && class.Effect == Unsafe:
		rc.fatalf("sent unsafe message %s again after an attempt that may have run", message.id)
	case message.mayHaveRun && class.Effect == Keyed && (rc.now > message.firstMayHaveRunAt+class.Window ||
		class.ByZone && endpoint.entry.Zone != message.mayHaveRunZone):
		rc.fatalf("repeated keyed message %s outside its zone or window", message.id)
	case rc.settings.MaxTries > 0 && message.tries >= rc.settings.MaxTries:
		rc.fatalf("sent message %s more often than MaxTries allows", message.id)
	}
	if message.key != "" {
		for _, earlier := range rc.byOrderKey[message.key] {
			if earlier == message {
				break
			}
			if !earlier.ended || earlier.inFlight {
				rc.fatalf("sent message %s before message %s of the same order key had ended", message.id, earlier.id)
			}
		}
		if rc.now < rc.quietUntil[message.key] && rc.quietOwner[message.key] != message {
			rc.fatalf("sent message %s in the quiet time of its order key", message.id)
		}
	}
	message.inFlight = true
	if !message.mayHaveRun {
		message.firstMayHaveRunAt, message.mayHaveRunZone = rc.now, endpoint.entry.Zone
	}
}

// checkBudget checks that the calls to destination 1 after its outage stay within this sender's share of what overloads
// a recovering destination, plus six calls for each route: for chance and for an endpoint that was not tried during
// the outage.
func (rc *ruleChecker) checkBudget(endpoint *ruleEndpoint) {
	if endpoint.entry.Destination == 1 && rc.now < rc.outage[0] {
		rc.sentBeforeOutage = append(rc.sentBeforeOutage, rc.now)
		rc.peakRate = max(rc.peakRate, float64(countAfter(rc.sentBeforeOutage, rc.now-Second)))
	}
	if endpoint.entry.Destination != 1 || !rc.outageSeen || rc.now < rc.outage[1] ||
		rc.now > rc.outage[1]+rc.settings.WarmAfter {
		return
	}
	capacityShare := rc.settings.ColdFrom + (1-rc.settings.ColdFrom)*
		seconds(rc.now-rc.outage[1])/seconds(rc.settings.WarmAfter)
	routes := 1.0
	if rc.settings.Kinds[endpoint.entry.Kind].SeparateRoutes {
		routes = 2
	}
	limit := 8.0 // the highest limit in a load report; without a limit, a higher peak rate of the sender counts
	if rc.settings.Weights == WeightsOff && rc.settings.LimitIndex < 0 {
		limit = max(limit, rc.peakRate)
	}
	bound := rc.settings.FallMultiple*capacityShare*limit*routes*
		seconds(rc.settings.FallWindow)/float64(rc.settings.Senders) + 6*routes
	rc.sentWhileRecovering = append(rc.sentWhileRecovering, rc.now)
	if n := countAfter(rc.sentWhileRecovering, rc.now-rc.settings.FallWindow); float64(n) > bound {
		rc.fatalf("%d calls to a recovering destination in one FallWindow, want at most %.1f", n, bound)
	}
}

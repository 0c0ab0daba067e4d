package scale

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"crossdeal/logic"
)

// Mode says how a destination treats calls.
type Mode int

// The modes of a destination.
const (
	Serving  Mode = iota // answers, within its limit
	Refusing             // refuses connections after a round trip
	Hanging              // never answers
	Erring               // answers each call with an error
)

// FleetConfig describes a fleet of simulated senders and its destinations.
type FleetConfig struct {
	Seed          uint64
	Settings      logic.Settings // Settings.Senders is the fleet size that the senders assume
	Senders       int            // number of simulated senders
	Destinations  int
	EndpointsEach int     // endpoints of a destination
	MessageRate   float64 // new messages a second at each sender, at random times for random destinations
	OrderKeys     int     // order keys that the messages of a sender are spread over; 0 for none

	RoundTrip       logic.Micros // time until a refusal, a rejection or an error is answered; 0 means 2 ms
	MedianLatency   logic.Micros // median time until an answer, log-normal with sigma 0.5; 0 means 80 ms
	RateLimit       float64      // calls a second that a destination accepts from all senders together; 0 for no limit
	RetryAfter      logic.Micros // sent with a rejection; 0 for none
	TraceEjections  bool         // record when each sender logs an endpoint as ejected
	MeasureStepTime bool         // measure the processor time of the steps; the caller locks its goroutine to a thread
}

// Counts holds what a fleet has done so far.
type Counts struct {
	Messages    int // new messages that senders were given
	Delivered   int
	Refused     int // ended undelivered; none of their attempts can have run
	Failed      int // ended; it is not known whether they took effect
	Calls       int
	CallsToDown int // calls to a destination that was not serving
	Rejected    int // calls rejected by a rate limit
	Steps       int
	Events      int
	Actions     int
	Held        int           // messages that are held at this time, all senders together
	InFlight    int           // calls that are in flight at this time, all senders together
	StepTime    time.Duration // processor time of all steps, if it is measured
}

// Fleet is a set of simulated senders, each a logic.Sender without sockets or a journal, and simulated destinations,
// under a virtual clock. It is not safe for concurrent use. The same FleetConfig and the same calls give the same
// Digest.
type Fleet struct {
	Counts
	// EjectedAt holds, by destination and sender, when the sender first logged an endpoint of the destination as
	// ejected. It is filled if FleetConfig.TraceEjections is set.
	EjectedAt map[int64]map[int]logic.Micros

	cfg          FleetConfig
	now          logic.Micros
	seq          uint64
	queue        eventQueue
	freeEvents   []*event
	senders      []*simulatedSender
	destinations []destination
	digest       hash.Hash64
	buf          []byte
}

// simulatedSender is one sender. Like the real process it takes a step as soon as an event arrives, but at most one a
// tick.
type simulatedSender struct {
	id            int
	sender        *logic.Sender
	random        *rand.Rand
	pendingEvents []logic.Event
	stepScheduled bool // a step is in the event queue
	lastStepAt    logic.Micros
	messagesMade  int // messages created so far
	openMessages  map[string]*message
}

// message is a message that a sender has not ended, or that has an answer pending.
type message struct {
	destination   int64
	attempts      int
	ended         bool   // delivered, or ended by the sender
	pendingAnswer *event // the answer to its call in the event queue; nil if it has no call in flight
}

// destination is a simulated destination.
type destination struct {
	mode             Mode
	messagesEnded    int            // messages for it that senders ended undelivered
	returnedAt       logic.Micros   // when it began to serve again after an outage; 0 if it had none
	recentCalls      []logic.Micros // times of the calls in the last second, if there is a rate limit
	callsSinceReturn []logic.Micros // times of all calls since returnedAt
}

type eventKind uint8

const (
	arrivalEvent eventKind = iota
	answerEvent
	timerEvent
	stepEvent
	callbackEvent // calls a function of the scenario
)

type event struct {
	at        logic.Micros
	seq       uint64
	heapIndex int // index in the event queue
	kind      eventKind
	sender    *simulatedSender
	token     uint64
	message   *message
	reply     logic.AttemptResult
	callback  func()
}

// eventQueue is a heap of events, ordered by time, then by sequence number.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i]; q[i].heapIndex, q[j].heapIndex = i, j }
func (q *eventQueue) Push(x any)   { e := x.(*event); e.heapIndex = len(*q); *q = append(*q, e) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return e
}

// NewFleet returns a fleet at time 0. Every sender gets the whole list in its first step, and messages arrive from the
// first second on. An error names the invalid setting.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	if cfg.RoundTrip == 0 {
		cfg.RoundTrip = 2000
	}
	if cfg.MedianLatency == 0 {
		cfg.MedianLatency = 80_000
	}
	cfg.EndpointsEach = max(cfg.EndpointsEach, 1)
	f := &Fleet{cfg: cfg, destinations: make([]destination, cfg.Destinations), digest: fnv.New64a(),
		EjectedAt: map[int64]map[int]logic.Micros{}}
	list := WholeList(cfg.Destinations, cfg.EndpointsEach, cfg.Settings.Zones, cfg.RateLimit)
	for i := range cfg.Senders {
		settings := cfg.Settings
		settings.Zone = i % max(settings.Zones, 1)
		sender, err := logic.New(settings, cfg.Seed+uint64(i)*0x9e3779b97f4a7c15)
		if err != nil {
			return nil, err
		}
		sim := &simulatedSender{id: i, sender: sender, random: rand.New(rand.NewPCG(cfg.Seed, uint64(i)+1)),
			lastStepAt: -logic.Second, openMessages: map[string]*message{}}
		f.senders = append(f.senders, sim)
		f.queueEvent(sim, list)
		if cfg.MessageRate > 0 {
			f.schedule(logic.Micros(sim.random.Float64()*float64(logic.Second)), arrivalEvent, sim)
		}
	}
	return f, nil
}

// WholeList returns a whole list of destinations 0 to destinations-1 with endpointsEach endpoints each. Endpoint j of
// destination i has the ID i*endpointsEach+j+1. The limit is listed as the nominal rate.
func WholeList(destinations, endpointsEach, zones int, limit float64) logic.ListUpdate {
	ev := logic.ListUpdate{Form: logic.ListWhole, Entries: make([]logic.Entry, 0, destinations*endpointsEach)}
	for i := range destinations * endpointsEach {
		ev.Entries = append(ev.Entries, logic.Entry{Endpoint: logic.EndpointID(i + 1), Destination: int64(i / endpointsEach),
			Zone: i % max(zones, 1), Nominal: limit})
	}
	return ev
}

// Now returns the virtual time.
func (f *Fleet) Now() logic.Micros { return f.now }

// Digest returns a hash of the steps of all senders so far: their times, the numbers of events and actions, and the
// calls, cancellations, timers and ended messages.
func (f *Fleet) Digest() uint64 { return f.digest.Sum64() }

// ScheduleAt calls a function at a virtual time. It may be called before or during [Fleet.RunUntil].
func (f *Fleet) ScheduleAt(at logic.Micros, callback func()) {
	f.schedule(at, callbackEvent, nil).callback = callback
}

// SetMode changes how a destination treats calls from this time on. A destination that begins to serve again counts as
// recovering from this time on.
func (f *Fleet) SetMode(destination int64, mode Mode) {
	d := &f.destinations[destination]
	if d.mode != Serving && mode == Serving {
		d.returnedAt, d.callsSinceReturn = f.now, nil
	}
	d.mode = mode
}

// InjectEvent gives a sender an event at the present virtual time.
func (f *Fleet) InjectEvent(sender int, ev logic.Event) { f.queueEvent(f.senders[sender], ev) }

// RunUntil runs the fleet until virtual time t.
func (f *Fleet) RunUntil(t logic.Micros) {
	for len(f.queue) > 0 && f.queue[0].at <= t {
		e := heap.Pop(&f.queue).(*event)
		f.now = max(f.now, e.at)
		sim := e.sender
		switch e.kind {
		case arrivalEvent:
			f.handleArrival(sim)
		case answerEvent:
			f.handleAnswer(sim, e)
		case timerEvent:
			f.queueEvent(sim, logic.TimerExpired{Token: e.token})
		case stepEvent:
			f.runStep(sim)
		case callbackEvent:
			e.callback()
		}
		*e = event{}
		f.freeEvents = append(f.freeEvents, e)
	}
	f.now = max(f.now, t)
}

func (f *Fleet) schedule(at logic.Micros, kind eventKind, sim *simulatedSender) *event {
	e := &event{}
	if n := len(f.freeEvents); n > 0 {
		e, f.freeEvents = f.freeEvents[n-1], f.freeEvents[:n-1]
	}
	f.seq++
	*e = event{at: max(at, f.now), seq: f.seq, kind: kind, sender: sim}
	heap.Push(&f.queue, e)
	return e
}

func (f *Fleet) queueEvent(sim *simulatedSender, ev logic.Event) {
	sim.pendingEvents = append(sim.pendingEvents, ev)
	if !sim.stepScheduled {
		sim.stepScheduled = true
		f.schedule(max(f.now, sim.lastStepAt+f.cfg.Settings.Tick), stepEvent, sim)
	}
}

func (f *Fleet) handleArrival(sim *simulatedSender) {
	f.schedule(f.now+logic.Micros(sim.random.ExpFloat64()/f.cfg.MessageRate*float64(logic.Second)), arrivalEvent, sim)
	sim.messagesMade++
	f.Messages++
	f.Held++
	class := sim.random.IntN(len(f.cfg.Settings.Classes))
	newMessage := logic.NewMessage{ID: strconv.Itoa(sim.messagesMade), TimeLeft: f.cfg.Settings.Classes[class].Deadline,
		Destination: sim.random.Int64N(int64(f.cfg.Destinations)), Tenant: -1, Class: class}
	if f.cfg.OrderKeys > 0 {
		newMessage.Key = strconv.Itoa(sim.random.IntN(f.cfg.OrderKeys))
	}
	sim.openMessages[newMessage.ID] = &message{destination: newMessage.Destination}
	f.queueEvent(sim, newMessage)
}

func (f *Fleet) handleAnswer(sim *simulatedSender, e *event) {
	m := e.message
	m.pendingAnswer = nil
	f.InFlight--
	if e.reply.Outcome == logic.Completed {
		e.reply.MessageEnded = true
		if !m.ended {
			f.Delivered++
			f.Held--
		}
		m.ended = true
	}
	if m.ended {
		delete(sim.openMessages, e.reply.ID)
	}
	f.queueEvent(sim, e.reply)
}

func (f *Fleet) runStep(sim *simulatedSender) {
	sim.stepScheduled, sim.lastStepAt = false, f.now
	events := sim.pendingEvents
	sim.pendingEvents = nil
	var start time.Duration
	if f.cfg.MeasureStepTime {
		start = ThreadCPUTime()
	}
	actions := sim.sender.Step(f.now, events)
	if f.cfg.MeasureStepTime {
		f.StepTime += ThreadCPUTime() - start
	}
	f.Steps++
	f.Events += len(events)
	f.Actions += len(actions)
	f.addToDigest(uint64(f.now), uint64(sim.id), uint64(len(events)), uint64(len(actions)))
	for _, a := range actions {
		switch a := a.(type) {
		case logic.CallOut:
			f.startCall(sim, a)
		case logic.Cancel:
			if m := sim.openMessages[a.ID]; m != nil && m.pendingAnswer != nil && m.pendingAnswer.reply.Attempt == a.Attempt {
				f.addToDigest(3, uint64(a.Attempt))
				m.pendingAnswer.reply.Outcome, m.pendingAnswer.reply.Load, m.pendingAnswer.reply.RetryAfter = logic.Cancelled, nil, 0
				m.pendingAnswer.reply.Duration = f.now - (m.pendingAnswer.at - m.pendingAnswer.reply.Duration)
				m.pendingAnswer.at = f.now
				heap.Fix(&f.queue, m.pendingAnswer.heapIndex)
			}
		case logic.Refuse:
			f.Refused++
			f.endMessage(sim, a.ID)
		case logic.Fail:
			f.Failed++
			f.endMessage(sim, a.ID)
		case logic.SetTimer:
			f.addToDigest(5, uint64(a.Wait))
			f.schedule(f.now+max(a.Wait, 1), timerEvent, sim).token = a.Token
		case logic.Log:
			f.recordEjection(sim, a.Text)
		}
	}
}

// recordEjection reads the log line that a sender writes when it ejects an endpoint.
func (f *Fleet) recordEjection(sim *simulatedSender, text string) {
	if !f.cfg.TraceEjections {
		return
	}
	var endpoint, destination int64
	if _, err := fmt.Sscanf(text, "endpoint %d of %d out:", &endpoint, &destination); err != nil {
		return
	}
	if f.EjectedAt[destination] == nil {
		f.EjectedAt[destination] = map[int]logic.Micros{}
	}
	if _, ok := f.EjectedAt[destination][sim.id]; !ok {
		f.EjectedAt[destination][sim.id] = f.now
	}
}

func (f *Fleet) endMessage(sim *simulatedSender, id string) {
	f.addToDigest(4)
	f.buf = append(f.buf[:0], id...)
	f.digest.Write(f.buf)
	m := sim.openMessages[id]
	if m == nil || m.ended {
		return
	}
	m.ended = true
	f.Held--
	f.destinations[m.destination].messagesEnded++
	if m.pendingAnswer == nil {
		delete(sim.openMessages, id)
	}
}

// startCall makes one attempt. Its outcome is decided here, and its answer scheduled.
func (f *Fleet) startCall(sim *simulatedSender, a logic.CallOut) {
	m := sim.openMessages[a.ID]
	if m == nil {
		return
	}
	f.Calls++
	f.InFlight++
	i := (int(a.Endpoint) - 1) / f.cfg.EndpointsEach
	d := &f.destinations[i]
	r := logic.AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Attempt: m.attempts}
	m.attempts++
	if d.returnedAt > 0 {
		d.callsSinceReturn = append(d.callsSinceReturn, f.now)
	}
	switch d.mode {
	case Refusing:
		r.Outcome, r.Duration = logic.ConnRefused, f.cfg.RoundTrip
	case Hanging:
		r.Outcome, r.Duration = logic.TimedOut, a.GiveUp
	case Erring:
		r.Outcome, r.Duration = logic.Errored, f.cfg.RoundTrip
	default:
		r.Outcome, r.Duration = logic.Completed, logic.Micros(float64(f.cfg.MedianLatency)*math.Exp(0.5*sim.random.NormFloat64()))
		f.applyRateLimit(d, &r)
		if r.Duration >= a.GiveUp {
			r.Outcome, r.Duration, r.Load = logic.TimedOut, a.GiveUp, nil
		}
	}
	if d.mode != Serving {
		f.CallsToDown++
	}
	f.addToDigest(1, uint64(a.Endpoint), uint64(a.GiveUp), uint64(r.Outcome))
	e := f.schedule(f.now+r.Duration, answerEvent, sim)
	e.message, e.reply = m, r
	m.pendingAnswer = e
}

// applyRateLimit rejects a call beyond the rate limit and reports with the reply the limit and the share of it that is
// left.
func (f *Fleet) applyRateLimit(d *destination, r *logic.AttemptResult) {
	if f.cfg.RateLimit <= 0 {
		return
	}
	for len(d.recentCalls) > 0 && d.recentCalls[0] <= f.now-logic.Second {
		d.recentCalls = d.recentCalls[1:]
	}
	d.recentCalls = append(d.recentCalls, f.now)
	n := float64(len(d.recentCalls))
	r.Load = []float64{max(0, 1-n/f.cfg.RateLimit), f.cfg.RateLimit}
	if n > f.cfg.RateLimit {
		f.Rejected++
		r.Outcome, r.Duration, r.RetryAfter = logic.Rejected, f.cfg.RoundTrip, f.cfg.RetryAfter
	}
}

func (f *Fleet) addToDigest(words ...uint64) {
	f.buf = f.buf[:0]
	for _, w := range words {
		f.buf = binary.LittleEndian.AppendUint64(f.buf, w)
	}
	f.digest.Write(f.buf)
}

// RecoveryWindow is a span of Settings.FallWindow at a recovering destination: the calls from all senders that it got
// in the window, and its budget, the number of calls that do not overload it. Start is the time from the end of the
// outage to the start of the window.
type RecoveryWindow struct {
	Start  logic.Micros
	Calls  int
	Budget float64
}

// Excess returns the calls above the budget, divided by the excess that random arrivals explain: twice the square root
// of the budget, plus 2. Above 1, slow start has not kept to the budget.
func (w RecoveryWindow) Excess() float64 {
	return (float64(w.Calls) - w.Budget) / (2*math.Sqrt(w.Budget) + 2)
}

// RecoveryWindows returns the windows at a destination from the end of its outage until it has its whole capacity, one
// window ending with each call. The budget of a window is that at its end. capacity is the calls a second that the
// destination takes at its whole capacity.
func (f *Fleet) RecoveryWindows(destination int64, capacity float64) (windows []RecoveryWindow) {
	settings, d := &f.cfg.Settings, &f.destinations[destination]
	oldest := 0
	for i, t := range d.callsSinceReturn {
		for d.callsSinceReturn[oldest] <= t-settings.FallWindow {
			oldest++
		}
		since := t - d.returnedAt
		if since > settings.WarmAfter {
			break
		}
		capacityShare := settings.ColdFrom + (1-settings.ColdFrom)*float64(since)/float64(settings.WarmAfter)
		windows = append(windows, RecoveryWindow{Start: max(since-settings.FallWindow, 0), Calls: i - oldest + 1,
			Budget: settings.FallMultiple * capacityShare * capacity * float64(settings.FallWindow) / float64(logic.Second)})
	}
	return windows
}

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

// FleetConfig describes a fleet of hollow senders and its destinations. Times are logic.Micros.
type FleetConfig struct {
	Seed          uint64
	Settings      logic.Settings // Settings.Senders is what each sender takes the fleet to be
	Senders       int            // that run
	Destinations  int
	EndpointsEach int     // endpoints of a destination
	MessageRate   float64 // new messages a second at each sender, at random times for random destinations
	OrderKeys     int     // order keys that the messages of a sender are spread over; 0 for none

	RoundTrip       logic.Micros // of a refusal; 2 ms if 0
	MedianLatency   logic.Micros // median time to an answer; 80 ms if 0. Its logarithm is normal, deviation 0.5
	RateLimit       float64      // calls a second of a destination, all senders together; 0 for none
	RetryAfter      logic.Micros // told with a rejection; 0 for none
	TraceEjections  bool         // keep when each sender logs an endpoint as out
	MeasureStepTime bool         // take the processor time of each step; the caller locks its goroutine to a thread
}

// Counts are what a fleet has done so far.
type Counts struct {
	Messages    int // that came
	Delivered   int
	Refused     int // ended undelivered, none of their attempts may have run
	Failed      int // ended, not known whether they took effect
	Calls       int
	CallsToDown int // of these, calls to a destination that was not serving
	Rejected    int // turned away by a limit
	Steps       int
	Events      int
	Actions     int
	Held        int           // messages held now, all senders together
	InFlight    int           // calls out now
	StepTime    time.Duration // processor time of all steps, if it is measured
}

// Fleet is many hollow senders, each a logic.Sender with nothing around it, and stand-ins of their destinations, under
// a virtual clock. It is not safe for concurrent use. The same FleetConfig and calls give the same Digest.
type Fleet struct {
	Counts
	// Out is, by destination and with Trace, when each sender first logged an endpoint of it as out.
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

// simulatedSender is one sender. Like the real one it steps at once when something comes, but at most once a tick.
type simulatedSender struct {
	id            int
	sender        *logic.Sender
	random        *rand.Rand
	pendingEvents []logic.Event
	stepScheduled bool // a step is on the agenda
	lastStepAt    logic.Micros
	messagesMade  int // messages so far
	openMessages  map[string]*message
}

type message struct {
	destination   int64
	attempts      int
	ended         bool   // ended by the sender's word
	pendingAnswer *event // its answer, on the agenda
}

// destination is a destination.
type destination struct {
	mode             Mode
	messagesEnded    int            // that senders ended
	returnedAt       logic.Micros   // when it came back cold; 0 if it did not
	recentCalls      []logic.Micros // in the last second, if it has a limit
	callsSinceReturn []logic.Micros // all since it came back
}

type eventKind uint8

const (
	arrivalEvent eventKind = iota
	answerEvent
	timerEvent
	stepEvent
	callbackEvent // of the world: a function
)

type event struct {
	at        logic.Micros
	seq       uint64
	heapIndex int // in the agenda
	kind      eventKind
	sender    *simulatedSender
	token     uint64
	message   *message
	reply     logic.AttemptResult
	callback  func()
}

// eventQueue is a heap of events by time, then by when they were put on it.
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

// NewFleet makes a fleet at time 0. Every sender is told the whole list in its first step, and messages come from the
// first second on. An error names the setting that makes no sense.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	if cfg.RoundTrip == 0 {
		cfg.RoundTrip = 2000
	}
	if cfg.MedianLatency == 0 {
		cfg.MedianLatency = 80_000
	}
	cfg.EndpointsEach = max(cfg.EndpointsEach, 1)
	f := &Fleet{cfg: cfg, destinations: make([]destination, cfg.Destinations), digest: fnv.New64a(), EjectedAt: map[int64]map[int]logic.Micros{}}
	list := FullList(cfg.Destinations, cfg.EndpointsEach, cfg.Settings.Zones, cfg.RateLimit)
	for i := range cfg.Senders {
		set := cfg.Settings
		set.Zone = i % max(set.Zones, 1)
		s, err := logic.New(set, cfg.Seed+uint64(i)*0x9e3779b97f4a7c15)
		if err != nil {
			return nil, err
		}
		h := &simulatedSender{id: i, sender: s, random: rand.New(rand.NewPCG(cfg.Seed, uint64(i)+1)), lastStepAt: -logic.Second,
			openMessages: map[string]*message{}}
		f.senders = append(f.senders, h)
		f.queueEvent(h, list)
		if cfg.MessageRate > 0 {
			f.schedule(logic.Micros(h.random.Float64()*float64(logic.Second)), arrivalEvent, h)
		}
	}
	return f, nil
}

// FullList is a whole list of destinations 0 to dests-1 with so many endpoints each. Endpoint j of destination i has the
// id i*each+j+1. The limit is told as the nominal rate.
func FullList(dests, each, zones int, limit float64) logic.ListUpdate {
	ev := logic.ListUpdate{Form: logic.ListFull, Entries: make([]logic.Entry, 0, dests*each)}
	for i := range dests * each {
		ev.Entries = append(ev.Entries, logic.Entry{Endpoint: logic.EndpointID(i + 1), Destination: int64(i / each),
			Zone: i % max(zones, 1), Nominal: limit})
	}
	return ev
}

// Now is the virtual time.
func (f *Fleet) Now() logic.Micros { return f.now }

// Digest is a hash of all that the senders have been told and have done, with times, so far.
func (f *Fleet) Digest() uint64 { return f.digest.Sum64() }

// ScheduleAt has the world do something at a time, before or during [Fleet.Run].
func (f *Fleet) ScheduleAt(t logic.Micros, do func()) {
	f.schedule(t, callbackEvent, nil).callback = do
}

// SetMode changes how a destination treats calls from now on. One that begins to serve again does so cold.
func (f *Fleet) SetMode(dest int64, mode Mode) {
	d := &f.destinations[dest]
	if d.mode != Serving && mode == Serving {
		d.returnedAt, d.callsSinceReturn = f.now, nil
	}
	d.mode = mode
}

// InjectEvent hands the sender an event now.
func (f *Fleet) InjectEvent(sender int, ev logic.Event) { f.queueEvent(f.senders[sender], ev) }

// RunUntil lets virtual time pass until t.
func (f *Fleet) RunUntil(t logic.Micros) {
	for len(f.queue) > 0 && f.queue[0].at <= t {
		e := heap.Pop(&f.queue).(*event)
		f.now = max(f.now, e.at)
		h := e.sender
		switch e.kind {
		case arrivalEvent:
			f.handleArrival(h)
		case answerEvent:
			f.handleAnswer(h, e)
		case timerEvent:
			f.queueEvent(h, logic.TimerExpired{Token: e.token})
		case stepEvent:
			f.runStep(h)
		case callbackEvent:
			e.callback()
		}
		*e = event{}
		f.freeEvents = append(f.freeEvents, e)
	}
	f.now = max(f.now, t)
}

func (f *Fleet) schedule(at logic.Micros, kind eventKind, h *simulatedSender) *event {
	e := &event{}
	if n := len(f.freeEvents); n > 0 {
		e, f.freeEvents = f.freeEvents[n-1], f.freeEvents[:n-1]
	}
	f.seq++
	*e = event{at: max(at, f.now), seq: f.seq, kind: kind, sender: h}
	heap.Push(&f.queue, e)
	return e
}

func (f *Fleet) queueEvent(h *simulatedSender, ev logic.Event) {
	h.pendingEvents = append(h.pendingEvents, ev)
	if !h.stepScheduled {
		h.stepScheduled = true
		f.schedule(max(f.now, h.lastStepAt+f.cfg.Settings.Tick), stepEvent, h)
	}
}

func (f *Fleet) handleArrival(h *simulatedSender) {
	f.schedule(f.now+logic.Micros(h.random.ExpFloat64()/f.cfg.MessageRate*float64(logic.Second)), arrivalEvent, h)
	h.messagesMade++
	f.Messages++
	f.Held++
	class := h.random.IntN(len(f.cfg.Settings.Classes))
	c := logic.NewMessage{ID: strconv.Itoa(h.messagesMade), TimeLeft: f.cfg.Settings.Classes[class].Deadline, Destination: h.random.Int64N(int64(f.cfg.Destinations)),
		Tenant: -1, Class: class}
	if f.cfg.OrderKeys > 0 {
		c.Key = strconv.Itoa(h.random.IntN(f.cfg.OrderKeys))
	}
	h.openMessages[c.ID] = &message{destination: c.Destination}
	f.queueEvent(h, c)
}

func (f *Fleet) handleAnswer(h *simulatedSender, e *event) {
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
		delete(h.openMessages, e.reply.ID)
	}
	f.queueEvent(h, e.reply)
}

func (f *Fleet) runStep(h *simulatedSender) {
	h.stepScheduled, h.lastStepAt = false, f.now
	events := h.pendingEvents
	h.pendingEvents = nil
	var from time.Duration
	if f.cfg.MeasureStepTime {
		from = ThreadCPUTime()
	}
	actions := h.sender.Step(f.now, events)
	if f.cfg.MeasureStepTime {
		f.StepTime += ThreadCPUTime() - from
	}
	f.Steps++
	f.Events += len(events)
	f.Actions += len(actions)
	f.addToDigest(uint64(f.now), uint64(h.id), uint64(len(events)), uint64(len(actions)))
	for _, a := range actions {
		switch a := a.(type) {
		case logic.CallOut:
			f.startCall(h, a)
		case logic.Cancel:
			if m := h.openMessages[a.ID]; m != nil && m.pendingAnswer != nil && m.pendingAnswer.reply.Attempt == a.Attempt {
				f.addToDigest(3, uint64(a.Attempt))
				m.pendingAnswer.reply.Outcome, m.pendingAnswer.reply.Load, m.pendingAnswer.reply.RetryAfter = logic.Cancelled, nil, 0
				m.pendingAnswer.reply.Duration = f.now - (m.pendingAnswer.at - m.pendingAnswer.reply.Duration)
				m.pendingAnswer.at = f.now
				heap.Fix(&f.queue, m.pendingAnswer.heapIndex)
			}
		case logic.Refuse:
			f.Refused++
			f.endMessage(h, a.ID)
		case logic.Fail:
			f.Failed++
			f.endMessage(h, a.ID)
		case logic.SetTimer:
			f.addToDigest(5, uint64(a.Wait))
			f.schedule(f.now+max(a.Wait, 1), timerEvent, h).token = a.Token
		case logic.Log:
			f.recordEjection(h, a.Text)
		}
	}
}

func (f *Fleet) recordEjection(h *simulatedSender, text string) {
	if !f.cfg.TraceEjections {
		return
	}
	var ep, dest int64
	if _, err := fmt.Sscanf(text, "endpoint %d of %d out:", &ep, &dest); err != nil {
		return
	}
	if f.EjectedAt[dest] == nil {
		f.EjectedAt[dest] = map[int]logic.Micros{}
	}
	if _, ok := f.EjectedAt[dest][h.id]; !ok {
		f.EjectedAt[dest][h.id] = f.now
	}
}

func (f *Fleet) endMessage(h *simulatedSender, id string) {
	f.addToDigest(4)
	f.buf = append(f.buf[:0], id...)
	f.digest.Write(f.buf)
	m := h.openMessages[id]
	if m == nil || m.ended {
		return
	}
	m.ended = true
	f.Held--
	f.destinations[m.destination].messagesEnded++
	if m.pendingAnswer == nil {
		delete(h.openMessages, id)
	}
}

// startCall is one attempt: what becomes of it is settled as it is made.
func (f *Fleet) startCall(h *simulatedSender, a logic.CallOut) {
	m := h.openMessages[a.ID]
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
		r.Outcome, r.Duration = logic.Completed, logic.Micros(float64(f.cfg.MedianLatency)*math.Exp(0.5*h.random.NormFloat64()))
		f.applyRateLimit(d, &r)
		if r.Duration >= a.GiveUp {
			r.Outcome, r.Duration, r.Load = logic.TimedOut, a.GiveUp, nil
		}
	}
	if d.mode != Serving {
		f.CallsToDown++
	}
	f.addToDigest(1, uint64(a.Endpoint), uint64(a.GiveUp), uint64(r.Outcome))
	e := f.schedule(f.now+r.Duration, answerEvent, h)
	e.message, e.reply = m, r
	m.pendingAnswer = e
}

// applyRateLimit rejects a call beyond the destination's limit and tells what is left of it.
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

// RecoveryWindow is a span of Settings.FallWindow at a destination that has come back cold: the calls of all senders that it
// got in it, and its budget, those that it stands. From is the time since its return.
type RecoveryWindow struct {
	Start  logic.Micros
	Calls  int
	Budget float64
}

// Excess is the calls above the budget as a part of those that are chance: twice the root of the budget and 2. Over 1
// the ramp has not held.
func (w RecoveryWindow) Excess() float64 {
	return (float64(w.Calls) - w.Budget) / (2*math.Sqrt(w.Budget) + 2)
}

// RecoveryWindows are the windows at a destination since its return until it is warm, one that ends with each call. The budget
// of a window is that of its end. capacity is the calls a second that the destination takes when it is warm.
func (f *Fleet) RecoveryWindows(dest int64, capacity float64) (out []RecoveryWindow) {
	set, d := &f.cfg.Settings, &f.destinations[dest]
	first := 0
	for i, t := range d.callsSinceReturn {
		for d.callsSinceReturn[first] <= t-set.FallWindow {
			first++
		}
		since := t - d.returnedAt
		if since > set.WarmAfter {
			break
		}
		up := set.ColdFrom + (1-set.ColdFrom)*float64(since)/float64(set.WarmAfter)
		out = append(out, RecoveryWindow{Start: max(since-set.FallWindow, 0), Calls: i - first + 1,
			Budget: set.FallMultiple * up * capacity * float64(set.FallWindow) / float64(logic.Second)})
	}
	return out
}

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
	Seed     uint64
	Settings logic.Settings // Settings.Senders is what each sender takes the fleet to be
	Senders  int            // that run
	Dests    int
	Each     int     // endpoints of a destination
	Rate     float64 // new messages a second at each sender, at random times for random destinations
	Keys     int     // order keys that the messages of a sender are spread over; 0 for none

	RoundTrip  logic.Micros // of a refusal; 2 ms if 0
	Latency    logic.Micros // median time to an answer; 80 ms if 0. Its logarithm is normal, deviation 0.5
	Limit      float64      // calls a second of a destination, all senders together; 0 for none
	RetryAfter logic.Micros // told with a rejection; 0 for none
	Trace      bool         // keep when each sender logs an endpoint as out
	Measure    bool         // take the processor time of each step; the caller locks its goroutine to a thread
}

// Counts are what a fleet has done so far.
type Counts struct {
	Messages  int // that came
	Delivered int
	Refused   int // ended undelivered, none of their attempts may have run
	Failed    int // ended, not known whether they took effect
	Calls     int
	Dead      int // of these, calls to a destination that was not serving
	Rejected  int // turned away by a limit
	Steps     int
	Events    int
	Actions   int
	Held      int           // messages held now, all senders together
	Flying    int           // calls out now
	StepTime  time.Duration // processor time of all steps, if it is measured
}

// Fleet is many hollow senders, each a logic.Sender with nothing around it, and stand-ins of their destinations, under
// a virtual clock. It is not safe for concurrent use. The same FleetConfig and calls give the same Digest.
type Fleet struct {
	Counts
	// Out is, by destination and with Trace, when each sender first logged an endpoint of it as out.
	Out map[int64]map[int]logic.Micros

	cfg     FleetConfig
	now     logic.Micros
	seq     uint64
	queue   agenda
	free    []*event
	senders []*hollow
	dests   []standIn
	digest  hash.Hash64
	buf     []byte
}

// hollow is one sender. Like the real one it steps at once when something comes, but at most once a tick.
type hollow struct {
	id      int
	s       *logic.Sender
	rnd     *rand.Rand
	next    []logic.Event
	planned bool // a step is on the agenda
	last    logic.Micros
	made    int // messages so far
	open    map[string]*message
}

type message struct {
	dest  int64
	tries int
	over  bool   // ended by the sender's word
	out   *event // its answer, on the agenda
}

// standIn is a destination.
type standIn struct {
	mode  Mode
	ended int            // that senders ended
	back  logic.Micros   // when it came back cold; 0 if it did not
	calls []logic.Micros // in the last second, if it has a limit
	seen  []logic.Micros // all since it came back
}

type eventKind uint8

const (
	arrival eventKind = iota
	answer
	timer
	stepping
	turn // of the world: a function
)

type event struct {
	at      logic.Micros
	seq     uint64
	place   int // in the agenda
	kind    eventKind
	sender  *hollow
	token   uint64
	message *message
	reply   logic.AttemptResult
	call    func()
}

// agenda is a heap of events by time, then by when they were put on it.
type agenda []*event

func (q agenda) Len() int { return len(q) }
func (q agenda) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q agenda) Swap(i, j int) { q[i], q[j] = q[j], q[i]; q[i].place, q[j].place = i, j }
func (q *agenda) Push(x any)   { e := x.(*event); e.place = len(*q); *q = append(*q, e) }
func (q *agenda) Pop() any {
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
	if cfg.Latency == 0 {
		cfg.Latency = 80_000
	}
	cfg.Each = max(cfg.Each, 1)
	f := &Fleet{cfg: cfg, dests: make([]standIn, cfg.Dests), digest: fnv.New64a(), Out: map[int64]map[int]logic.Micros{}}
	list := List(cfg.Dests, cfg.Each, cfg.Settings.Zones, cfg.Limit)
	for i := range cfg.Senders {
		set := cfg.Settings
		set.Zone = i % max(set.Zones, 1)
		s, err := logic.New(set, cfg.Seed+uint64(i)*0x9e3779b97f4a7c15)
		if err != nil {
			return nil, err
		}
		h := &hollow{id: i, s: s, rnd: rand.New(rand.NewPCG(cfg.Seed, uint64(i)+1)), last: -logic.Second,
			open: map[string]*message{}}
		f.senders = append(f.senders, h)
		f.tell(h, list)
		if cfg.Rate > 0 {
			f.plan(logic.Micros(h.rnd.Float64()*float64(logic.Second)), arrival, h)
		}
	}
	return f, nil
}

// List is a whole list of destinations 0 to dests-1 with so many endpoints each. Endpoint j of destination i has the
// id i*each+j+1. The limit is told as the nominal rate.
func List(dests, each, zones int, limit float64) logic.ListUpdate {
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

// At has the world do something at a time, before or during [Fleet.Run].
func (f *Fleet) At(t logic.Micros, do func()) { f.plan(t, turn, nil).call = do }

// Set changes how a destination treats calls from now on. One that begins to serve again does so cold.
func (f *Fleet) Set(dest int64, mode Mode) {
	d := &f.dests[dest]
	if d.mode != Serving && mode == Serving {
		d.back, d.seen = f.now, nil
	}
	d.mode = mode
}

// Tell hands the sender an event now.
func (f *Fleet) Tell(sender int, ev logic.Event) { f.tell(f.senders[sender], ev) }

// Run lets virtual time pass until t.
func (f *Fleet) Run(t logic.Micros) {
	for len(f.queue) > 0 && f.queue[0].at <= t {
		e := heap.Pop(&f.queue).(*event)
		f.now = max(f.now, e.at)
		h := e.sender
		switch e.kind {
		case arrival:
			f.arrive(h)
		case answer:
			f.answered(h, e)
		case timer:
			f.tell(h, logic.TimerExpired{Token: e.token})
		case stepping:
			f.step(h)
		case turn:
			e.call()
		}
		*e = event{}
		f.free = append(f.free, e)
	}
	f.now = max(f.now, t)
}

func (f *Fleet) plan(at logic.Micros, kind eventKind, h *hollow) *event {
	e := &event{}
	if n := len(f.free); n > 0 {
		e, f.free = f.free[n-1], f.free[:n-1]
	}
	f.seq++
	*e = event{at: max(at, f.now), seq: f.seq, kind: kind, sender: h}
	heap.Push(&f.queue, e)
	return e
}

func (f *Fleet) tell(h *hollow, ev logic.Event) {
	h.next = append(h.next, ev)
	if !h.planned {
		h.planned = true
		f.plan(max(f.now, h.last+f.cfg.Settings.Tick), stepping, h)
	}
}

func (f *Fleet) arrive(h *hollow) {
	f.plan(f.now+logic.Micros(h.rnd.ExpFloat64()/f.cfg.Rate*float64(logic.Second)), arrival, h)
	h.made++
	f.Messages++
	f.Held++
	class := h.rnd.IntN(len(f.cfg.Settings.Classes))
	c := logic.NewMessage{ID: strconv.Itoa(h.made), TimeLeft: f.cfg.Settings.Classes[class].Deadline, Destination: h.rnd.Int64N(int64(f.cfg.Dests)),
		Tenant: -1, Class: class}
	if f.cfg.Keys > 0 {
		c.Key = strconv.Itoa(h.rnd.IntN(f.cfg.Keys))
	}
	h.open[c.ID] = &message{dest: c.Destination}
	f.tell(h, c)
}

func (f *Fleet) answered(h *hollow, e *event) {
	m := e.message
	m.out = nil
	f.Flying--
	if e.reply.Outcome == logic.Completed {
		e.reply.MessageEnded = true
		if !m.over {
			f.Delivered++
			f.Held--
		}
		m.over = true
	}
	if m.over {
		delete(h.open, e.reply.ID)
	}
	f.tell(h, e.reply)
}

func (f *Fleet) step(h *hollow) {
	h.planned, h.last = false, f.now
	events := h.next
	h.next = nil
	var from time.Duration
	if f.cfg.Measure {
		from = ThreadTime()
	}
	actions := h.s.Step(f.now, events)
	if f.cfg.Measure {
		f.StepTime += ThreadTime() - from
	}
	f.Steps++
	f.Events += len(events)
	f.Actions += len(actions)
	f.note(uint64(f.now), uint64(h.id), uint64(len(events)), uint64(len(actions)))
	for _, a := range actions {
		switch a := a.(type) {
		case logic.CallOut:
			f.call(h, a)
		case logic.Cancel:
			if m := h.open[a.ID]; m != nil && m.out != nil && m.out.reply.Attempt == a.Attempt {
				f.note(3, uint64(a.Attempt))
				m.out.reply.Outcome, m.out.reply.Load, m.out.reply.RetryAfter = logic.Cancelled, nil, 0
				m.out.reply.Duration = f.now - (m.out.at - m.out.reply.Duration)
				m.out.at = f.now
				heap.Fix(&f.queue, m.out.place)
			}
		case logic.Refuse:
			f.Refused++
			f.end(h, a.ID)
		case logic.Fail:
			f.Failed++
			f.end(h, a.ID)
		case logic.SetTimer:
			f.note(5, uint64(a.Wait))
			f.plan(f.now+max(a.Wait, 1), timer, h).token = a.Token
		case logic.Log:
			f.log(h, a.Text)
		}
	}
}

func (f *Fleet) log(h *hollow, text string) {
	if !f.cfg.Trace {
		return
	}
	var ep, dest int64
	if _, err := fmt.Sscanf(text, "endpoint %d of %d out:", &ep, &dest); err != nil {
		return
	}
	if f.Out[dest] == nil {
		f.Out[dest] = map[int]logic.Micros{}
	}
	if _, ok := f.Out[dest][h.id]; !ok {
		f.Out[dest][h.id] = f.now
	}
}

func (f *Fleet) end(h *hollow, id string) {
	f.note(4)
	f.buf = append(f.buf[:0], id...)
	f.digest.Write(f.buf)
	m := h.open[id]
	if m == nil || m.over {
		return
	}
	m.over = true
	f.Held--
	f.dests[m.dest].ended++
	if m.out == nil {
		delete(h.open, id)
	}
}

// call is one attempt: what becomes of it is settled as it is made.
func (f *Fleet) call(h *hollow, a logic.CallOut) {
	m := h.open[a.ID]
	if m == nil {
		return
	}
	f.Calls++
	f.Flying++
	i := (int(a.Endpoint) - 1) / f.cfg.Each
	d := &f.dests[i]
	r := logic.AttemptResult{ID: a.ID, Endpoint: a.Endpoint, Attempt: m.tries}
	m.tries++
	if d.back > 0 {
		d.seen = append(d.seen, f.now)
	}
	switch d.mode {
	case Refusing:
		r.Outcome, r.Duration = logic.ConnRefused, f.cfg.RoundTrip
	case Hanging:
		r.Outcome, r.Duration = logic.TimedOut, a.GiveUp
	case Erring:
		r.Outcome, r.Duration = logic.Errored, f.cfg.RoundTrip
	default:
		r.Outcome, r.Duration = logic.Completed, logic.Micros(float64(f.cfg.Latency)*math.Exp(0.5*h.rnd.NormFloat64()))
		f.limit(d, &r)
		if r.Duration >= a.GiveUp {
			r.Outcome, r.Duration, r.Load = logic.TimedOut, a.GiveUp, nil
		}
	}
	if d.mode != Serving {
		f.Dead++
	}
	f.note(1, uint64(a.Endpoint), uint64(a.GiveUp), uint64(r.Outcome))
	e := f.plan(f.now+r.Duration, answer, h)
	e.message, e.reply = m, r
	m.out = e
}

// limit rejects a call beyond the destination's limit and tells what is left of it.
func (f *Fleet) limit(d *standIn, r *logic.AttemptResult) {
	if f.cfg.Limit <= 0 {
		return
	}
	for len(d.calls) > 0 && d.calls[0] <= f.now-logic.Second {
		d.calls = d.calls[1:]
	}
	d.calls = append(d.calls, f.now)
	n := float64(len(d.calls))
	r.Load = []float64{max(0, 1-n/f.cfg.Limit), f.cfg.Limit}
	if n > f.cfg.Limit {
		f.Rejected++
		r.Outcome, r.Duration, r.RetryAfter = logic.Rejected, f.cfg.RoundTrip, f.cfg.RetryAfter
	}
}

func (f *Fleet) note(words ...uint64) {
	f.buf = f.buf[:0]
	for _, w := range words {
		f.buf = binary.LittleEndian.AppendUint64(f.buf, w)
	}
	f.digest.Write(f.buf)
}

// Window is a span of Settings.FallWindow at a destination that has come back cold: the calls of all senders that it
// got in it, and its budget, those that it stands. From is the time since its return.
type Window struct {
	From   logic.Micros
	Calls  int
	Budget float64
}

// Beyond is the calls above the budget as a part of those that are chance: twice the root of the budget and 2. Over 1
// the ramp has not held.
func (w Window) Beyond() float64 { return (float64(w.Calls) - w.Budget) / (2*math.Sqrt(w.Budget) + 2) }

// Windows are the windows at a destination since its return until it is warm, one that ends with each call. The budget
// of a window is that of its end. capacity is the calls a second that the destination takes when it is warm.
func (f *Fleet) Windows(dest int64, capacity float64) (out []Window) {
	set, d := &f.cfg.Settings, &f.dests[dest]
	first := 0
	for i, t := range d.seen {
		for d.seen[first] <= t-set.FallWindow {
			first++
		}
		since := t - d.back
		if since > set.WarmAfter {
			break
		}
		up := set.ColdFrom + (1-set.ColdFrom)*float64(since)/float64(set.WarmAfter)
		out = append(out, Window{From: max(since-set.FallWindow, 0), Calls: i - first + 1,
			Budget: set.FallMultiple * up * capacity * float64(set.FallWindow) / float64(logic.Second)})
	}
	return out
}

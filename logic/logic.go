package logic

// The sender's decisions, one file each: the endpoint list (endpoint_list.go, membership.go), which message
// goes first (queue.go), where it goes (routing.go), what must hold before it does (gate.go), outlier
// ejection (ejection.go), slow start (slow_start.go), rate limits (rate_limit.go), the restart time τ
// (restart_time.go), outcomes of attempts (outcome.go), and ends of messages (ending.go). The interface
// (settings, events, actions) is in logic/types.go. Of the tuned values at the head of each file, what is
// marked "design" comes from the design page, what is marked "ours" is our own.

import (
	"math"
	"math/rand/v2"
)

const (
	binLeast    = 0x1p-80 // ours: a bin with less, 40 minutes after its last sample, counts as empty
	manySenders = 16      // ours: more than this, one idle connection each, may fill an endpoint
	logMost     = 200     // ours: log lines in a life
	tableLeast  = 256     // ours: entries that a table may hold before any is dropped
	sweepStep   = 2       // ours: destinations looked at with each message for what has aged
)

// New makes a Sender. An error names the setting that makes no sense.
func New(set Settings, seed uint64) (*Sender, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	s := &Sender{set: set, rng: rand.New(rand.NewPCG(seed, 0)), now: math.MinInt64, askAt: never, askGap: askGap,
		eps: map[EndpointID]*endpoint{}, banned: map[EndpointID]bool{}, dests: map[int64]*dest{},
		msgs: map[string]*msg{}, keys: map[string]*keyLine{}, turned: map[int]float64{}, room: map[int]int{}}
	if set.OnRequest {
		s.askAt = math.MinInt64
	}
	s.many, s.aim = set.Senders > manySenders, never
	for _, c := range set.Classes {
		s.aim = min(s.aim, max(c.Aim, set.Tick, 1000))
	}
	s.byClass, s.usage = make([]hist, len(set.Classes)), make([]usage, len(set.Tenants))
	return s, nil
}

// Step takes what happened up to now and returns what to do.
func (s *Sender) Step(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.out, s.wake = nil, never
	for _, ev := range events {
		s.take(ev)
	}
	s.subscribe()
	s.endHopeless()
	s.cutLong()
	s.dispatch()
	s.shut()
	s.arm()
	return s.out
}

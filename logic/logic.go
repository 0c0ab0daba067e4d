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
	minBinWeight         = 0x1p-80 // ours: a bin with less, 40 minutes after its last sample, counts as empty
	manySendersAbove     = 16      // ours: more than this, one idle connection each, may fill an endpoint
	maxLogLines          = 200     // ours: log lines in a life
	minPruneAbove        = 256     // ours: entries that a table may hold before any is dropped
	destinationsPerSweep = 2       // ours: destinations looked at with each message for what has aged
)

// New makes a Sender. An error names the setting that makes no sense.
func New(set Settings, seed uint64) (*Sender, error) {
	if err := validate(&set); err != nil {
		return nil, err
	}
	s := &Sender{settings: set, rng: rand.New(rand.NewPCG(seed, 0)), now: math.MinInt64, listRequestAt: never,
		listRetryDelay: firstListRetryMicros,
		endpoints:      map[EndpointID]*endpoint{}, banned: map[EndpointID]bool{},
		destinations: map[int64]*destination{},
		messages:     map[string]*message{}, orderKeys: map[string]*keyQueue{}, rejectedShare: map[int]float64{},
		newConnsAccepted: map[int]int{}}
	if set.ListOnRequest {
		s.listRequestAt = math.MinInt64
	}
	s.manySenders, s.shortestAim = set.Senders > manySendersAbove, never
	for _, c := range set.Classes {
		s.shortestAim = min(s.shortestAim, max(c.Aim, set.Tick, 1000))
	}
	s.classHistograms, s.tenantUsage = make([]histogram, len(set.Classes)), make([]tenantUsage, len(set.Tenants))
	return s, nil
}

// Step takes what happened up to now and returns what to do.
func (s *Sender) Step(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.actions, s.nextWakeAt = nil, never
	for _, ev := range events {
		s.handleEvent(ev)
	}
	s.requestList()
	s.endExpiring()
	s.cutOffLongCalls()
	s.dispatch()
	s.refuseBeforeStop()
	s.armTimer()
	return s.actions
}

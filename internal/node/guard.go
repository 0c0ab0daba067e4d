package node

// The guard: a second check of each send and end against the rules that the sender must not break.

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// rule names an invariant of the sender. The decision logic keeps the rules for calls and ends; the guard checks them
// again when an action is carried out, with the state at that time. Each call is checked before anything of it is
// journaled or written, and a call on a new connection again once that is established. The rules for client connections
// and for the start are kept by this package. The value of a rule is its name in log lines and counters.
type rule string

// The rules that the guard checks.
const (
	ruleDrain         rule = "drain"       // no call to an endpoint that is not up, or that an operator has disabled
	ruleUnconfirmed   rule = "unconfirmed" // no call based on an endpoint list that may be stale
	ruleWait          rule = "wait"        // no call to a destination or endpoint during a requested wait
	ruleDestination   rule = "destination" // a message goes only to endpoints of its destination
	ruleSingleAttempt rule = "once"        // one attempt of a message at a time, and none once it has ended
	ruleAttempts      rule = "attempts"    // no more attempts than the settings allow
	ruleRepeat        rule = "repeat"      // a message that may have run is repeated only as its class allows
	ruleDeadline      rule = "deadline"    // no call after the message's deadline
	ruleConnState     rule = "state"       // a client's connection makes only the permitted state changes
	ruleAnswer        rule = "answer"      // a request that was read is answered before its connection is closed
	ruleSingleEnd     rule = "end"         // a message ends once
	ruleStart         rule = "start"       // each journal entry at a start becomes a held message or a queued notice
)

const (
	waitSlack        = 100 * time.Millisecond // for calls that cross with the response that asked for a wait
	maxViolationLogs = 20                     // "rule broken" log lines per process
)

// guard counts violations and withheld actions. A violation is an action that would have broken a rule with the state
// on which it was decided (or an invariant that was found broken): a bug in this program, so none is ever expected. A
// withheld action was correct when it was decided, and the state changed before it was carried out: this is normal.
type guard struct {
	log              *slog.Logger
	mu               sync.Mutex
	violationCounts  map[rule]int
	withheldCounts   map[rule]int
	loggedViolations int

	// Used by the loop only.
	waits map[waitTarget]requestedWait
}

// waitTarget is what a wait applies to: a destination, or one endpoint of it where endpoints are separate routes.
type waitTarget struct {
	destination int64
	endpoint    logic.EndpointID // 0 for the whole destination
}

// requestedWait is a wait that a response asked for.
type requestedWait struct {
	since time.Time
	until time.Time
}

func newGuard(log *slog.Logger) *guard {
	return &guard{log: log, violationCounts: map[rule]int{}, withheldCounts: map[rule]int{}, waits: map[waitTarget]requestedWait{}}
}

// recordViolation counts a violation of a rule and logs it, up to maxViolationLogs lines.
func (g *guard) recordViolation(r rule, attrs ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.violationCounts[r]++
	if g.loggedViolations++; g.loggedViolations <= maxViolationLogs {
		g.log.Error("rule broken", append([]any{"rule", string(r)}, attrs...)...)
	}
}

// recordWithheld counts an action that was correct when it was decided and that a rule forbids by now.
func (g *guard) recordWithheld(r rule) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.withheldCounts[r]++
}

// violationTotal returns the number of violations since the process started.
func (g *guard) violationTotal() (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range g.violationCounts {
		count += n
	}
	return count
}

// countAttrs returns the counts since the process started as log attributes, each group in order of rule.
func (g *guard) countAttrs() []any {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []any
	for _, r := range slices.Sorted(maps.Keys(g.violationCounts)) {
		out = append(out, "broken_"+string(r), g.violationCounts[r])
	}
	for _, r := range slices.Sorted(maps.Keys(g.withheldCounts)) {
		out = append(out, "withheld_"+string(r), g.withheldCounts[r])
	}
	return out
}

// addWait records a wait that a response asked for, unless a recorded one lasts longer.
func (g *guard) addWait(target waitTarget, wait time.Duration, now time.Time) {
	until := now.Add(wait)
	if until.After(g.waits[target].until) {
		g.waits[target] = requestedWait{since: now, until: until}
	}
}

// waitActive reports whether a wait applies to target now. A wait does not count within waitSlack after its start, nor
// within waitSlack before its end. A wait that has ended is dropped.
func (g *guard) waitActive(target waitTarget, now time.Time) bool {
	w, ok := g.waits[target]
	if ok && !now.Before(w.until) {
		delete(g.waits, target)
		return false
	}
	return ok && now.Sub(w.since) > waitSlack && w.until.Sub(now) > waitSlack
}

// waitTargetOf returns what a wait that an endpoint asked for applies to.
func (n *Node) waitTargetOf(endpoint logic.EndpointID, target discovery.Target) waitTarget {
	if kinds := n.cfg.Deployment.Settings.Kinds; target.KindIndex >= 0 && target.KindIndex < len(kinds) && kinds[target.KindIndex].SeparateRoutes {
		return waitTarget{target.Destination, endpoint}
	}
	return waitTarget{destination: target.Destination}
}

// checkSend returns the rule that a call of h to an endpoint would break now; empty if none.
func (n *Node) checkSend(h *heldMessage, endpoint logic.EndpointID, now time.Time) rule {
	settings := &n.cfg.Deployment.Settings
	target := n.target(endpoint)
	switch {
	case h.ended:
		return ruleSingleAttempt
	case target.Lifecycle != "" && target.Lifecycle != "up" || n.journal.disabled[n.directory.Name(endpoint)]:
		return ruleDrain
	case target.Destination != h.message.Destination:
		return ruleDestination
	case !now.Before(n.clock.Time(h.message.Deadline)):
		return ruleDeadline
	case n.guard.waitActive(n.waitTargetOf(endpoint, target), now):
		return ruleWait
	case n.repeatForbidden(h.message, now):
		return ruleRepeat
	case n.sender.ListUnconfirmed(toMicros(time.Since(n.clockOrigin))):
		return ruleUnconfirmed
	case settings.MaxTries > 0 && h.attempts > settings.MaxTries:
		return ruleAttempts
	}
	return ""
}

// repeatForbidden reports whether a message may have run and must not be sent again: an unsafe message never is, a
// keyed one not after its window, and one of an unknown class never.
func (n *Node) repeatForbidden(m *Message, now time.Time) bool {
	e := n.journal.Entry(m.ID)
	if e == nil || !e.MayHaveRun {
		return false
	}
	class, ok := n.cfg.ClassIndexes[m.Class]
	if !ok {
		return true
	}
	switch c := n.cfg.Deployment.Settings.Classes[class]; c.Effect {
	case logic.Unsafe:
		return true
	case logic.Keyed:
		return now.After(n.clock.Time(e.FirstMayHaveRunAt).Add(toDuration(c.Window)))
	}
	return false
}

// permitCall checks a call that the decision logic has just decided on, before anything of it is journaled or written.
// A broken rule is a violation, except for a list that became stale, or a deadline or window that passed, since the
// decision.
func (n *Node) permitCall(id string, endpoint logic.EndpointID) bool {
	h := n.held[id]
	if h == nil {
		return true // never accepted: startCall reports the outcome
	}
	violated := n.checkSend(h, endpoint, time.Now())
	switch {
	case violated == "" && h.cancelCall != nil:
		violated = ruleSingleAttempt
	case violated == "" && n.cfg.Deployment.Settings.MaxTries > 0 && h.attempts >= n.cfg.Deployment.Settings.MaxTries:
		violated = ruleAttempts
	}
	switch {
	case violated == "":
		return true
	case violated == ruleUnconfirmed, violated == ruleDeadline, violated == ruleRepeat && !n.repeatForbidden(h.message, n.decidedAt):
		n.guard.recordWithheld(violated)
	default:
		n.guard.recordViolation(violated, "id", id, "endpoint", n.directory.Name(endpoint), "attempt", h.attempts, "generation", n.listGeneration)
	}
	return false
}

// permitWrite checks a call again once its new connection is established: the state may have changed since the
// decision, so a forbidden call counts as withheld and not as a violation.
func (n *Node) permitWrite(c *call) bool {
	h := n.held[c.id]
	if h == nil || h.call != c || h.ended || c.state.Load() != callConnecting {
		return false
	}
	if violated := n.checkSend(h, c.endpoint, time.Now()); violated != "" {
		n.guard.recordWithheld(violated)
		return false
	}
	return true
}

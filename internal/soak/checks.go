package soak

import (
	"errors"
	"fmt"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"crossdeal/internal/scale/standin"
)

// Report is the result of a run's checks.
type Report struct {
	Seed           uint64
	Requests       int
	Accepted       int
	Delivered      int
	Calls          int
	ClientTimeouts int // requests whose client got no answer in time
	TimedOutSent   int // of those, messages that were sent to an endpoint all the same
	CrossedClose   int // requests without an answer that crossed their sender's close of the connection, unread
	// UninformedCalls counts calls to endpoints that drained while no process ran, with the agent unresponsive from before
	// the next start until after the call.
	UninformedCalls int
	ExtraAnswers    int      // good answers behind which extra bytes were sent
	DroppedRequests int      // requests on a connection with extra bytes, which were not carried out
	Violations      []string // one line each
}

func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d requests, %d accepted, %d delivered, %d calls, %d client timeouts (%d of their messages sent), "+
		"%d requests crossed a close, %d calls before the sender could learn of a drain, "+
		"%d answers with extra bytes, %d requests behind them, %d violations", r.Seed, r.Requests, r.Accepted,
		r.Delivered, r.Calls, r.ClientTimeouts, r.TimedOutSent, r.CrossedClose, r.UninformedCalls,
		r.ExtraAnswers, r.DroppedRequests, len(r.Violations))
}

func (r *Report) addViolation(rule, format string, args ...any) {
	r.Violations = append(r.Violations, rule+": "+fmt.Sprintf(format, args...))
}

// Tolerances that the protocol allows beyond each limit, and that scheduling on this machine may add.
const (
	limitSlack          = 50 * time.Millisecond   // allowed by the protocol
	machineSlack        = 150 * time.Millisecond  // for scheduling on this machine
	endSlack            = 300 * time.Millisecond  // for the end of a message after its deadline
	restartSlack        = 1500 * time.Millisecond // for the end of a message after the next process is ready
	watchReconnectSlack = 400 * time.Millisecond  // for the answers of an agent that responds again to arrive
	retryAfterSlack     = 100 * time.Millisecond  // for calls that cross the answer with the retry-after
	watchUpdateLimit    = 6 * time.Second         // after a watch became unresponsive, or discovery had a change and was reachable
	moveUpdateLimit     = 4 * time.Second         // after SIGHUP
	maxLongPoll         = 13 * time.Second        // the longest wait of a watch when the list comes on request
)

// message holds all records of one message.
type message struct {
	*Request
	calls   []Call
	notices []Notice
}

// check checks the records of a run; failures are the errors of its faults.
func (h *Harness) check(failures []string) *Report {
	report := &Report{Seed: h.cfg.Seed}
	report.ExtraAnswers, report.DroppedRequests = h.extraBytes.Counts()
	for _, f := range failures {
		report.addViolation("start", "%s", f)
	}
	messages := h.groupRecords(report)
	for i, sender := range h.senders {
		h.checkProcesses(report, sender)
		h.checkRetryAfter(report, i, messages)
	}
	for _, m := range messages {
		h.checkDrain(report, m)
		checkDestinationAndBody(report, m)
		checkAttempts(report, m)
		h.checkAnswer(report, m)
		h.checkEnd(report, m)
	}
	slices.Sort(report.Violations)
	return report
}

// groupRecords groups the records by message and counts requests and calls.
func (h *Harness) groupRecords(report *Report) map[string]*message {
	messages := map[string]*message{}
	h.requests.mu.Lock()
	for _, request := range h.requests.all {
		messages[request.ID] = &message{Request: request}
		report.Requests++
		if request.Accepted() {
			report.Accepted++
		}
		if request.TimedOut {
			report.ClientTimeouts++
		}
	}
	h.requests.mu.Unlock()
	for _, e := range h.allEndpoints() {
		for _, c := range e.recordedCalls() {
			report.Calls++
			if m := messages[c.ID]; m != nil {
				m.calls = append(m.calls, c)
			} else if !strings.HasPrefix(c.ID, "m") {
				report.addViolation("unknown", "%s got message %q, which no client sent", c.Endpoint, c.ID)
			}
		}
	}
	for _, sender := range h.senders {
		sender.agent.mu.Lock()
		for _, n := range sender.agent.notices {
			if m := messages[n.ID]; m != nil {
				m.notices = append(m.notices, n)
			}
		}
		sender.agent.mu.Unlock()
	}
	for _, m := range messages {
		slices.SortFunc(m.calls, func(a, b Call) int { return a.LastByteAt.Compare(b.LastByteAt) })
	}
	return messages
}

// checkProcesses checks how a sender's processes ended, and reports the rule violations and crashes in their logs.
func (h *Harness) checkProcesses(report *Report, sender *managedSender) {
	for _, run := range sender.history() {
		if run.HarnessErr != nil {
			report.addViolation("harness", "%s, started %s: %v", sender.name, run.StartedAt.Format(clockFormat), run.HarnessErr)
		}
		for _, line := range run.BadLines {
			report.addViolation("guard", "%s: %s", sender.name, line)
		}
		switch {
		case run.EndedAt.IsZero():
			report.addViolation("crash", "%s never ended", sender.name)
		case run.TerminatedAt.IsZero() && run.KilledAt.IsZero():
			report.addViolation("crash", "%s exited before it was stopped: %v", sender.name, run.Err)
		case run.Err != nil && run.KilledAt.IsZero() && !(run.ReadyAt.IsZero() && endedBySignal(run.Err)):
			report.addViolation("crash", "%s: %v", sender.name, run.Err)
		}
	}
}

// endedBySignal reports whether SIGTERM ended a process that did not handle the signal yet.
func endedBySignal(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// senderKnowsAt returns the time from which a change counts as known to a sender.
func (h *Harness) senderKnowsAt(senderIndex int, c Change) time.Time {
	a := h.senders[senderIndex].agent
	knownAt := c.KnownAt
	if !h.cfg.Pushed {
		knownAt = knownAt.Add(watchUpdateLimit)
	}
	detection := watchUpdateLimit
	if !h.cfg.Pushed { // 2 s after the end of a long poll, which may have begun just before its watch became unresponsive
		detection = maxLongPoll + 2*time.Second
	}
	for _, stalledAt := range a.watchStalls {
		if knownAt.After(stalledAt) && c.KnownAt.Before(stalledAt.Add(detection)) {
			knownAt = latest(knownAt, stalledAt.Add(detection))
		}
	}
	for _, fault := range a.faults {
		unreachable := fault.kind == standin.Refuse || !h.cfg.Pushed
		if unreachable && knownAt.After(fault.startedAt) && c.KnownAt.Before(fault.endedAt.Add(detection)) {
			until := fault.endedAt
			if !h.cfg.Pushed { // a watch that began during the fault first waits for its whole long poll
				until = until.Add(detection)
			}
			knownAt = latest(knownAt, until)
		}
	}
	for _, movedAt := range a.addressChanges {
		if knownAt.After(movedAt) && c.KnownAt.Before(movedAt.Add(moveUpdateLimit)) {
			knownAt = latest(knownAt, movedAt.Add(moveUpdateLimit))
		}
	}
	return knownAt
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkDrain looks for calls to endpoints that drain or are removed, after the grace has ended.
func (h *Harness) checkDrain(report *Report, m *message) {
	for _, c := range m.calls {
		for _, change := range h.senders[m.Sender].agent.changes {
			if change.Endpoint != c.Endpoint || change.Lifecycle == "up" {
				continue
			}
			knownAt := h.senderKnowsAt(m.Sender, change)
			late := c.FirstByteAt.Sub(knownAt.Add(h.drainGrace))
			switch {
			case late <= limitSlack+machineSlack:
			case h.couldNotKnow(m.Sender, change, c.FirstByteAt):
				report.UninformedCalls++
			default:
				report.addViolation("drain", "n%d sent %s to %s, %v after the grace of %v ended (%s, known at %s)", m.Sender, c.ID, c.Endpoint, late,
					h.drainGrace, change.Lifecycle, knownAt.Format(clockFormat))
			}
			break
		}
	}
}

// checkDestinationAndBody looks for calls whose destination or body is not the message's.
func checkDestinationAndBody(report *Report, m *message) {
	for _, c := range m.calls {
		if c.Destination != m.Destination {
			report.addViolation("destination", "%s for destination %d was sent to %s of destination %d", m.ID, m.Destination, c.Endpoint, c.Destination)
		}
		if c.Body != m.body() {
			report.addViolation("body", "%s was sent to %s with %q", m.ID, c.Endpoint, c.Body)
		}
	}
}

// couldNotKnow reports whether a change arrived while no process of a sender ran, and its agent was unresponsive from
// before the next start until after a call. The protocol's rule counts the change as known all the same, so such calls
// are counted separately.
func (h *Harness) couldNotKnow(senderIndex int, change Change, calledAt time.Time) bool {
	sender := h.senders[senderIndex]
	for _, run := range sender.history() {
		if run.StartedAt.Before(change.KnownAt) && (run.EndedAt.IsZero() || run.EndedAt.After(change.KnownAt)) {
			return false
		}
	}
	nextStart := time.Time{}
	for _, run := range sender.history() {
		if run.StartedAt.After(change.KnownAt) && (nextStart.IsZero() || run.StartedAt.Before(nextStart)) {
			nextStart = run.StartedAt
		}
	}
	return slices.ContainsFunc(sender.agent.faults, func(fault discoveryFault) bool {
		return fault.kind == standin.Unresponsive && fault.startedAt.Before(nextStart) && fault.endedAt.After(calledAt.Add(-watchReconnectSlack))
	})
}

const clockFormat = "15:04:05.000"

// checkAttempts looks for too many attempts, attempts of refused messages or after the deadline, overlapping attempts,
// and attempts that repeat a call that may have run where the message's class forbids it.
func checkAttempts(report *Report, m *message) {
	if len(m.calls) > maxAttempts {
		report.addViolation("attempts", "%s was sent %d times", m.ID, len(m.calls))
	}
	if len(m.calls) > 0 && m.Refused() {
		report.addViolation("refused", "%s was answered %q but sent to %s", m.ID, m.Answer, m.calls[0].Endpoint)
	}
	for i, c := range m.calls {
		due := m.SentAt.Add(m.TimeLimit)
		if !m.AnsweredAt.IsZero() { // the sender counts from reading the request, which precedes its answer
			due = m.AnsweredAt.Add(m.TimeLimit)
		}
		if !m.TimedOut && c.FirstByteAt.After(due.Add(limitSlack+machineSlack)) {
			report.addViolation("deadline", "%s was sent %v after its deadline", m.ID, c.FirstByteAt.Sub(due))
		}
		for _, earlier := range m.calls[:i] {
			if earlier.EndedAt.IsZero() || c.LastByteAt.Before(earlier.EndedAt.Add(-limitSlack)) {
				report.addViolation("overlap", "%s was sent to %s while its call to %s was open", m.ID, c.Endpoint, earlier.Endpoint)
			}
			late := c.FirstByteAt.Sub(earlier.LastByteAt) - keyedWindow - limitSlack - machineSlack
			if earlier.MayHaveRun && (m.Class == classUnsafe || m.Class == classKeyed && late > 0) {
				report.addViolation("repeat", "%s (%s) may have run at %s but was sent to %s %v later", m.ID, m.Class, earlier.Endpoint,
					c.Endpoint, c.FirstByteAt.Sub(earlier.LastByteAt))
			}
		}
	}
}

// checkRetryAfter looks for calls to a destination that has asked this sender to wait. A restart ends the wait.
func (h *Harness) checkRetryAfter(report *Report, senderIndex int, messages map[string]*message) {
	var calls []Call
	for _, m := range messages {
		if m.Sender == senderIndex {
			calls = append(calls, m.calls...)
		}
	}
	slices.SortFunc(calls, func(a, b Call) int { return a.FirstByteAt.Compare(b.FirstByteAt) })
	runs := h.senders[senderIndex].history()
	for _, c := range calls {
		if c.RetryAfter == 0 || c.EndedAt.IsZero() {
			continue
		}
		from, to := c.EndedAt.Add(retryAfterSlack+machineSlack), c.EndedAt.Add(c.RetryAfter-limitSlack)
		for _, other := range calls {
			if other.Destination == c.Destination && other.FirstByteAt.After(from) && other.FirstByteAt.Before(to) && sameProcess(runs, c.EndedAt, other.FirstByteAt) {
				report.addViolation("wait", "n%d was asked by %s to wait %v but sent %s to %s %v later", senderIndex, c.Endpoint, c.RetryAfter, other.ID,
					other.Endpoint, other.FirstByteAt.Sub(c.EndedAt))
			}
		}
	}
}

// sameProcess reports whether one process ran at both times.
func sameProcess(runs []processRun, a, b time.Time) bool {
	for _, run := range runs {
		if run.StartedAt.Before(a) && (run.EndedAt.IsZero() || run.EndedAt.After(b)) {
			return true
		}
	}
	return false
}

// validAnswers matches the answers that the protocol has for a well-formed request.
var validAnswers = regexp.MustCompile(`^(\+OK|-BUSY( [0-9]+)?|-ERR failed)\r\n$`)

// checkAnswer looks for malformed answers, and for requests without an answer that their sender had read or processed.
func (h *Harness) checkAnswer(report *Report, m *message) {
	runs := h.senders[m.Sender].history()
	switch {
	case m.Answer != "":
		if !validAnswers.MatchString(m.Answer) {
			report.addViolation("answer", "%s was answered %q", m.ID, m.Answer)
		}
	case m.TimedOut:
		if len(m.calls) > 0 {
			report.TimedOutSent++
		}
	case killedNear(runs, m.ClosedAt): // a killed process leaves requests unanswered
	case m.ReadBySender:
		report.addViolation("answer", "%s was read by n%d, but its connection was closed without an answer at %s", m.ID, m.Sender, m.ClosedAt.Format(clockFormat))
	case len(m.calls)+len(m.notices) > 0:
		report.addViolation("answer", "%s was processed by n%d, but its connection was closed without an answer at %s", m.ID, m.Sender, m.ClosedAt.Format(clockFormat))
	default:
		report.CrossedClose++
	}
}

// checkAfterNotice looks for calls that arrive after the notice of their message's end.
func checkAfterNotice(report *Report, m *message) {
	for _, n := range m.notices {
		for _, c := range m.calls {
			if late := c.FirstByteAt.Sub(n.At); late > limitSlack+machineSlack {
				report.addViolation("ended", "%s was sent to %s %v after the notice of its end (%s)", m.ID, c.Endpoint, late, n.State)
			}
		}
	}
}

// checkEnd looks for accepted messages without an end in time, for messages that were returned though they may have
// run, and for calls after the notice of the end.
func (h *Harness) checkEnd(report *Report, m *message) {
	deliveredAt, mayHaveRun := time.Time{}, false
	for _, c := range m.calls {
		mayHaveRun = mayHaveRun || c.MayHaveRun || c.EndedAt.IsZero()
		if c.Succeeded && deliveredAt.IsZero() {
			deliveredAt = c.EndedAt
		}
	}
	if !deliveredAt.IsZero() {
		report.Delivered++
	}
	for _, n := range m.notices {
		if n.State == "returned" && mayHaveRun && m.Class != classSafe {
			report.addViolation("returned", "%s (%s) may have run but was returned", m.ID, m.Class)
		}
	}
	checkAfterNotice(report, m)
	runs := h.senders[m.Sender].history()
	if !m.Accepted() {
		return
	}
	endedAt := deliveredAt
	for _, n := range m.notices {
		if endedAt.IsZero() || n.At.Before(endedAt) {
			endedAt = n.At
		}
	}
	due := m.SentAt.Add(m.TimeLimit + endSlack)
	for _, run := range runs {
		if stoppedAt := earliest(run.TerminatedAt, run.KilledAt); !stoppedAt.IsZero() && stoppedAt.Before(due) {
			due = latest(due, nextReady(runs, stoppedAt).Add(restartSlack))
		}
	}
	switch late := endedAt.Sub(due); {
	case endedAt.IsZero():
		report.addViolation("lost", "%s (%s, n%d, due %s) has not ended after %d calls", m.ID, m.Class, m.Sender, due.Format(clockFormat), len(m.calls))
	case late > limitSlack+machineSlack:
		report.addViolation("lost", "%s ended %v after it was due", m.ID, late)
	}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// nextReady returns when the first process that started after a time and became ready was ready, or that time if there is
// none.
func nextReady(runs []processRun, after time.Time) time.Time {
	for _, run := range runs {
		if run.StartedAt.After(after) && !run.ReadyAt.IsZero() {
			return run.ReadyAt
		}
	}
	return after
}

// killedNear reports whether a process was killed within margin of a time.
func killedNear(runs []processRun, at time.Time) bool {
	const margin = 500 * time.Millisecond
	return slices.ContainsFunc(runs, func(run processRun) bool {
		distance := at.Sub(run.KilledAt)
		return !run.KilledAt.IsZero() && distance > -margin && distance < margin
	})
}

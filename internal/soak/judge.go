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

// Report is what the judge found in a run.
type Report struct {
	Seed       uint64
	Requests   int
	Accepted   int
	Delivered  int
	Calls      int
	GaveUp     int      // clients that had no answer in time
	Forwarded  int      // of those, messages that were sent all the same
	Crossed    int      // requests that were not answered since their connections were reset
	Late       int      // messages that ended, but later than they had to
	Unknowable int      // calls to what drained while no process lived, whose agent then was silent until after the call
	Violations []string // a line each
}

func (r *Report) String() string {
	return fmt.Sprintf("seed %d: %d requests, %d accepted, %d delivered, %d calls, %d clients gave up (%d of their messages sent), "+
		"%d requests crossed a close, %d late ends, %d calls that could not know better, %d violations", r.Seed, r.Requests, r.Accepted,
		r.Delivered, r.Calls, r.GaveUp, r.Forwarded, r.Crossed, r.Late, r.Unknowable, len(r.Violations))
}

func (r *Report) violate(rule, format string, args ...any) {
	r.Violations = append(r.Violations, rule+": "+fmt.Sprintf(format, args...))
}

// What the protocol allows beyond each limit, and what this machine may add to that.
const (
	limitSlack   = 50 * time.Millisecond
	machineSlack = 150 * time.Millisecond
	endSlack     = 300 * time.Millisecond  // for the end of a message after its time
	restartSlack = 1500 * time.Millisecond // for an end after the next start is ready
	lostAfter    = 500 * time.Millisecond  // an end that comes later is none
	watchSlack   = 400 * time.Millisecond  // for an agent that is back to be heard
	waitSlack    = 100 * time.Millisecond  // calls that cross the answer with a wait
	watchTold    = 6 * time.Second         // after a watch fell silent, or discovery had a change and could be reached
	moveTold     = 4 * time.Second         // after SIGHUP
	longPoll     = 13 * time.Second        // the longest wait of a watch, where lists come on request
)

// message is all that is known of one message.
type message struct {
	*Request
	calls   []Call
	notices []Notice
}

// judge reads the records of a run.
func (w *World) judge(failures []string) *Report {
	r := &Report{Seed: w.cfg.Seed}
	for _, f := range failures {
		r.violate("start", "%s", f)
	}
	messages := w.collect(r)
	for i, s := range w.senders {
		w.judgeLives(r, s)
		w.judgeWaits(r, i, messages)
	}
	for _, m := range messages {
		w.judgeDrain(r, m)
		judgeCalls(r, m)
		judgeRepeats(r, m)
		w.judgeAnswer(r, m)
		w.judgeEnd(r, m)
	}
	slices.Sort(r.Violations)
	return r
}

// collect puts the records together by message.
func (w *World) collect(r *Report) map[string]*message {
	messages := map[string]*message{}
	w.requests.mu.Lock()
	for _, q := range w.requests.list {
		messages[q.ID] = &message{Request: q}
		r.Requests++
		if q.Accepted() {
			r.Accepted++
		}
		if q.GaveUp {
			r.GaveUp++
		}
	}
	w.requests.mu.Unlock()
	for _, e := range w.allEndpoints() {
		for _, c := range e.records() {
			r.Calls++
			if m := messages[c.ID]; m != nil {
				m.calls = append(m.calls, c)
			} else if !strings.HasPrefix(c.ID, "m") {
				r.violate("unknown", "%s got message %q, which no client handed in", c.Endpoint, c.ID)
			}
		}
	}
	for _, s := range w.senders {
		s.agent.mu.Lock()
		for _, n := range s.agent.notices {
			if m := messages[n.ID]; m != nil {
				m.notices = append(m.notices, n)
			}
		}
		s.agent.mu.Unlock()
	}
	for _, m := range messages {
		slices.SortFunc(m.calls, func(a, b Call) int { return a.Whole.Compare(b.Whole) })
	}
	return messages
}

// judgeLives looks at how a sender's processes ended, and at what they said themselves.
func (w *World) judgeLives(r *Report, s *process) {
	for _, l := range s.history() {
		for _, line := range l.Bad {
			r.violate("guard", "%s: %s", s.name, line)
		}
		switch {
		case l.Ended.IsZero():
			r.violate("crash", "%s never ended", s.name)
		case l.Term.IsZero() && l.Killed.IsZero():
			r.violate("crash", "%s ended by itself: %v", s.name, l.Err)
		case l.Err != nil && l.Killed.IsZero() && !(l.Ready.IsZero() && endedBySignal(l.Err)):
			r.violate("crash", "%s: %v", s.name, l.Err)
		}
	}
}

// endedBySignal says whether a process was ended by a signal that it had not begun to handle.
func endedBySignal(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// told is when a change counts as told to a sender.
func (w *World) told(sender int, c Change) time.Time {
	a := w.senders[sender].agent
	told := c.Known
	if !w.cfg.Pushed {
		told = told.Add(watchTold)
	}
	silence := watchTold
	if !w.cfg.Pushed { // 2 s after the wait of a long poll is over, which may have begun just then
		silence = longPoll + 2*time.Second
	}
	for _, lost := range a.losses {
		if told.After(lost) && c.Known.Before(lost.Add(silence)) {
			told = latest(told, lost.Add(silence))
		}
	}
	for _, f := range a.faults {
		unreachable := f.trouble == standin.Refuse || !w.cfg.Pushed
		if unreachable && told.After(f.from) && c.Known.Before(f.to.Add(silence)) {
			until := f.to
			if !w.cfg.Pushed { // a watch that began in a silence has its wait before it
				until = until.Add(silence)
			}
			told = latest(told, until)
		}
	}
	for _, m := range a.moves {
		if told.After(m) && c.Known.Before(m.Add(moveTold)) {
			told = latest(told, m.Add(moveTold))
		}
	}
	return told
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// judgeDrain looks for calls to what drains or is gone, past the grace.
func (w *World) judgeDrain(r *Report, m *message) {
	for _, c := range m.calls {
		for _, change := range w.senders[m.Sender].agent.changes {
			if change.Endpoint != c.Endpoint || change.Lifecycle == "up" {
				continue
			}
			told := w.told(m.Sender, change)
			late := c.First.Sub(told.Add(w.grace))
			switch {
			case late <= limitSlack+machineSlack:
			case w.couldNotKnow(m.Sender, change, c.First):
				r.Unknowable++
			default:
				r.violate("drain", "n%d sent %s to %s %v past the grace of %v (%s, told at %s)", m.Sender, c.ID, c.Endpoint, late,
					w.grace, change.Lifecycle, told.Format(clock))
			}
			break
		}
	}
}

// judgeCalls looks for calls to another destination than the message's, or with another body.
func judgeCalls(r *Report, m *message) {
	for _, c := range m.calls {
		if c.Dest != m.Dest {
			r.violate("destination", "%s for destination %d was sent to %s of %d", m.ID, m.Dest, c.Endpoint, c.Dest)
		}
		if c.Body != m.body() {
			r.violate("body", "%s was sent to %s with %q", m.ID, c.Endpoint, c.Body)
		}
	}
}

// couldNotKnow says whether a change came while no process of a sender lived, and its agent was silent from before the next
// start until after a call. The rule counts the change as told all the same: such calls are reported on their own.
func (w *World) couldNotKnow(sender int, c Change, call time.Time) bool {
	s := w.senders[sender]
	for _, l := range s.history() {
		if l.Started.Before(c.Known) && (l.Ended.IsZero() || l.Ended.After(c.Known)) {
			return false
		}
	}
	start := time.Time{}
	for _, l := range s.history() {
		if l.Started.After(c.Known) && (start.IsZero() || l.Started.Before(start)) {
			start = l.Started
		}
	}
	return slices.ContainsFunc(s.agent.faults, func(f faultSpan) bool {
		return f.trouble == standin.Silent && f.from.Before(start) && f.to.After(call.Add(-watchSlack))
	})
}

const clock = "15:04:05.000"

// judgeRepeats looks for attempts that overlap, are too many, or repeat what may have run against its class.
func judgeRepeats(r *Report, m *message) {
	if len(m.calls) > maxAttempts {
		r.violate("attempts", "%s was sent %d times", m.ID, len(m.calls))
	}
	if len(m.calls) > 0 && m.Refused() {
		r.violate("refused", "%s was answered %q and sent to %s", m.ID, m.Answer, m.calls[0].Endpoint)
	}
	for i, c := range m.calls {
		due := m.Sent.Add(m.Time)
		if !m.Answered.IsZero() { // the sender counts from when it reads the request, which is before its answer
			due = m.Answered.Add(m.Time)
		}
		if !m.GaveUp && c.First.After(due.Add(limitSlack+machineSlack)) {
			r.violate("deadline", "%s was sent %v after its time", m.ID, c.First.Sub(due))
		}
		for _, earlier := range m.calls[:i] {
			if earlier.End.IsZero() || c.Whole.Before(earlier.End.Add(-limitSlack)) {
				r.violate("overlap", "%s was sent to %s with a call out at %s", m.ID, c.Endpoint, earlier.Endpoint)
			}
			late := c.First.Sub(earlier.Whole) - keyedWindow - limitSlack - machineSlack
			if earlier.MayRun && (m.Class == classUnsafe || m.Class == classKeyed && late > 0) {
				r.violate("repeat", "%s (%s) may have run at %s and was sent to %s %v later", m.ID, m.Class, earlier.Endpoint,
					c.Endpoint, c.First.Sub(earlier.Whole))
			}
		}
	}
}

// judgeWaits looks for calls to a destination that asked this sender to wait. A restart ends a wait.
func (w *World) judgeWaits(r *Report, sender int, messages map[string]*message) {
	var calls []Call
	for _, m := range messages {
		if m.Sender == sender {
			calls = append(calls, m.calls...)
		}
	}
	slices.SortFunc(calls, func(a, b Call) int { return a.First.Compare(b.First) })
	lives := w.senders[sender].history()
	for _, c := range calls {
		if c.Wait == 0 || c.End.IsZero() {
			continue
		}
		from, to := c.End.Add(waitSlack+machineSlack), c.End.Add(c.Wait-limitSlack)
		for _, other := range calls {
			if other.Dest == c.Dest && other.First.After(from) && other.First.Before(to) && sameLife(lives, c.End, other.First) {
				r.violate("wait", "n%d was told by %s to wait %v and sent %s to %s %v later", sender, c.Endpoint, c.Wait, other.ID,
					other.Endpoint, other.First.Sub(c.End))
			}
		}
	}
}

// sameLife says whether one process lived at both times.
func sameLife(lives []Life, a, b time.Time) bool {
	for _, l := range lives {
		if l.Started.Before(a) && (l.Ended.IsZero() || l.Ended.After(b)) {
			return true
		}
	}
	return false
}

// answerForms are the answers that the protocol has for a request in good form.
var answerForms = regexp.MustCompile(`^(\+OK|-BUSY( [0-9]+)?|-ERR failed)\r\n$`)

// judgeAnswer looks for requests without an answer that their sender had read or taken, and for answers that are none.
func (w *World) judgeAnswer(r *Report, m *message) {
	lives := w.senders[m.Sender].history()
	switch {
	case m.Answer != "":
		if !answerForms.MatchString(m.Answer) {
			r.violate("answer", "%s was answered %q", m.ID, m.Answer)
		}
	case m.GaveUp:
		if len(m.calls) > 0 {
			r.Forwarded++
		}
	case killedAround(lives, m.Closed): // what it had not answered then is cut off
	case m.WasRead:
		r.violate("answer", "%s was read by n%d and its connection closed with no answer at %s", m.ID, m.Sender, m.Closed.Format(clock))
	case len(m.calls)+len(m.notices) > 0:
		r.violate("answer", "%s was taken by n%d and its connection closed with no answer at %s", m.ID, m.Sender, m.Closed.Format(clock))
	default:
		r.Crossed++
	}
}

// judgeAfterEnd looks for calls that come after the notice of their message's end.
func judgeAfterEnd(r *Report, m *message) {
	for _, n := range m.notices {
		for _, c := range m.calls {
			if late := c.First.Sub(n.At); late > limitSlack+machineSlack {
				r.violate("ended", "%s was sent to %s %v after its notice (%s)", m.ID, c.Endpoint, late, n.State)
			}
		}
	}
}

// judgeEnd looks for accepted messages without an end, and for ends that contradict each other or the client's answer.
func (w *World) judgeEnd(r *Report, m *message) {
	delivered, mayHaveRun := time.Time{}, false
	for _, c := range m.calls {
		mayHaveRun = mayHaveRun || c.MayRun || c.End.IsZero()
		if c.Done && delivered.IsZero() {
			delivered = c.End
		}
	}
	if !delivered.IsZero() {
		r.Delivered++
	}
	for _, n := range m.notices {
		if n.State == "returned" && mayHaveRun && m.Class != classSafe {
			r.violate("returned", "%s (%s) may have run and was returned", m.ID, m.Class)
		}
	}
	judgeAfterEnd(r, m)
	lives := w.senders[m.Sender].history()
	if !m.Accepted() {
		return
	}
	end := delivered
	for _, n := range m.notices {
		if end.IsZero() || n.At.Before(end) {
			end = n.At
		}
	}
	due := m.Sent.Add(m.Time + endSlack)
	for _, l := range lives {
		if away := earliest(l.Term, l.Killed); !away.IsZero() && away.Before(due) {
			due = latest(due, nextReady(lives, away).Add(restartSlack))
		}
	}
	switch late := end.Sub(due); {
	case end.IsZero():
		r.violate("lost", "%s (%s, n%d, due %s) has no end after %d calls", m.ID, m.Class, m.Sender, due.Format(clock), len(m.calls))
	case late > lostAfter+machineSlack:
		r.violate("lost", "%s ended %v after it had to", m.ID, late)
	case late > limitSlack+machineSlack:
		r.Late++
	}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// nextReady is when a process was ready first after a time; that time if none was.
func nextReady(lives []Life, at time.Time) time.Time {
	for _, l := range lives {
		if l.Started.After(at) && !l.Ready.IsZero() {
			return l.Ready
		}
	}
	return at
}

// killedAround says whether a process was killed about a time.
func killedAround(lives []Life, at time.Time) bool {
	const about = 500 * time.Millisecond
	return slices.ContainsFunc(lives, func(l Life) bool {
		d := at.Sub(l.Killed)
		return !l.Killed.IsZero() && d > -about && d < about
	})
}

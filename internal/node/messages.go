package node

// Messages that the sender holds: how they come in, what their attempts come to, and how they end.

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"crossdeal/logic"
)

// heldMessage is a message that the module has and that is not over.
type heldMessage struct {
	message    *Message
	attempts   int
	ended      bool                    // ended; an attempt is still out
	cancelCall context.CancelCauseFunc // of the attempt that is out
	call       *call                   // that attempt
	parkedConn *endpointConn           // its connection, once it is parked for another process
}

// logicCall is the module's view of a message.
func (n *Node) logicCall(m *Message, now int64) logic.NewMessage {
	c := logic.NewMessage{ID: m.ID, Key: m.OrderKey, TimeLeft: logic.Micros(m.Deadline - now), Destination: m.Destination, Tenant: -1, Class: n.cfg.ClassIndexes[m.Class]}
	if t, ok := n.cfg.TenantIndexes[m.Tenant]; ok && m.Tenant != "" {
		c.Tenant = t
	}
	return c
}

func (n *Node) handlePut(ev putEvent) {
	id := ev.message.ID
	_, over := n.recentIDs[id]
	if n.held[id] != nil || n.journal.Entry(id) != nil || over {
		n.trace.duplicate(id)
		if n.putInThisStep(id) {
			n.newPuts = append(n.newPuts, ev) // it gets the answer of the first
			return
		}
		ev.answer <- answerOK
		return
	}
	most := n.cfg.Deployment.Settings.MaxOpen
	if most > 0 && n.openMessages >= most || !n.journal.HasRoom(len(ev.message.Body)) {
		n.trace.rejected(id, n.openMessages, most)
		ev.answer <- busyAnswer(0)
		return
	}
	m := ev.message
	n.held[id] = &heldMessage{message: &m}
	n.openMessages++
	n.newPuts = append(n.newPuts, ev)
	n.nextEvents = append(n.nextEvents, n.logicCall(&m, n.clock.NowMicros()))
}

// putInThisStep says whether the message came since the last step.
func (n *Node) putInThisStep(id string) bool {
	for _, p := range n.newPuts {
		if p.message.ID == id {
			return true
		}
	}
	return false
}

func busyAnswer(after logic.Micros) string {
	if after <= 0 {
		return "-BUSY\r\n"
	}
	return fmt.Sprintf("-BUSY %d\r\n", (after+999)/1000)
}

func (n *Node) handleReply(ev replyEvent) {
	h := n.held[ev.call.id]
	if h == nil {
		return
	}
	r := ev.result
	if r.parkedConn != nil {
		h.parkedConn = r.parkedConn
		return
	}
	if h.cancelCall != nil {
		h.cancelCall(nil)
		h.cancelCall, h.call = nil, nil
	}
	if r.retryAfter > 0 {
		n.guard.addWait(n.waitTargetOf(ev.call.endpoint, n.target(ev.call.endpoint)), r.retryAfter, time.Now())
		n.withholdCallsForWait(ev.call.endpoint)
	}
	ended := h.ended
	done := r.outcome == logic.Completed || r.messageEnded
	n.trace.outcome(ev)
	switch {
	case ended:
	case done:
		n.pendingRecords = append(n.pendingRecords, record{Op: opDone, ID: ev.call.id})
		n.endMessage(ev.call.id, h)
	default:
		n.pendingRecords = append(n.pendingRecords, record{Op: opOutcome, ID: ev.call.id, MayHaveRun: mayHaveRun(r.outcome)})
	}
	if h.ended {
		delete(n.held, ev.call.id)
	}
	n.nextEvents = append(n.nextEvents, logic.AttemptResult{ID: ev.call.id, MessageEnded: ended || done, Endpoint: ev.call.endpoint,
		Attempt: ev.call.attempt, Outcome: r.outcome, Duration: toMicros(ev.duration), RetryAfter: toMicros(r.retryAfter),
		Load: n.parseLoadReport(r.loadReport)})
}

// parseLoadReport reads the report of an answer, each field in the place that the settings give it; nil if there is none.
// What cannot be read is left out.
func (n *Node) parseLoadReport(report string) []float64 {
	set := n.cfg.Deployment.Settings
	var load []float64
	for pair := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		place := -1
		switch name {
		case "x0":
			place = set.LimitLeftIndex
		case "x1":
			place = set.LimitIndex
		}
		x, err := strconv.ParseFloat(value, 64)
		if place < 0 || err != nil || !(x >= 0 && x <= math.MaxFloat32) {
			continue
		}
		for len(load) <= place {
			load = append(load, 0)
		}
		load[place] = x
	}
	return load
}

// mayHaveRun says what an outcome leaves open.
func mayHaveRun(o logic.Outcome) bool {
	return o != logic.Rejected && o != logic.ConnRefused && o != logic.NotSent
}

// endMessage takes a message off the books; its id is remembered until its time is up. A call of it that is out and not
// written yet never is.
func (n *Node) endMessage(id string, h *heldMessage) {
	if h.ended {
		n.guard.recordViolation(ruleEnd, "id", id)
		return
	}
	h.ended = true
	n.openMessages--
	n.recentIDs[id] = n.clock.Time(h.message.Deadline)
	if h.cancelCall == nil {
		delete(n.held, id)
		return
	}
	h.withholdCall()
}

// immediateAnswers finds the messages that the module ends in the step in which they came:
// their clients are told at once.
func (n *Node) immediateAnswers(actions []logic.Action) map[string]string {
	out := map[string]string{}
	if len(n.newPuts) == 0 {
		return out
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.Refuse:
			if n.putInThisStep(a.ID) {
				out[a.ID] = busyAnswer(a.RetryIn)
			}
		case logic.Fail:
			if n.putInThisStep(a.ID) {
				out[a.ID] = answerFailed
			}
		}
	}
	return out
}

func noticeOf(a logic.Action) Notice {
	switch a := a.(type) {
	case logic.Refuse:
		return Notice{ID: a.ID, State: "returned", AfterMS: int64((a.RetryIn + 999) / 1000)}
	case logic.Fail:
		return Notice{ID: a.ID, State: "failed"}
	}
	return Notice{}
}

// dropUnaccepted forgets a message that was never taken on.
func (n *Node) dropUnaccepted(id string) {
	if h := n.held[id]; h != nil && !h.ended {
		n.openMessages--
		delete(n.held, id)
	}
}

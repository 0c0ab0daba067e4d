package node

// Messages that the sender holds: admission, the outcomes of their attempts, and their end.

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"crossdeal/internal/httpconn"
	"crossdeal/logic"
)

// heldMessage is a message that was passed to the decision logic and has not ended, or that has ended with an attempt
// still in flight.
type heldMessage struct {
	message    *Message
	attempts   int
	ended      bool                    // the message has ended; an attempt is still in flight
	cancelCall context.CancelCauseFunc // cancels the attempt in flight; nil if there is none
	call       *call                   // the attempt in flight
	parkedConn *httpconn.Conn          // the attempt's connection, once it is parked for another process
}

// newMessageEvent returns the event that passes a message to the decision logic.
func (n *Node) newMessageEvent(m *Message, now int64) logic.NewMessage {
	event := logic.NewMessage{ID: m.ID, Key: m.OrderKey, TimeLeft: logic.Micros(m.Deadline - now), Destination: m.Destination, Tenant: -1, Class: n.cfg.ClassIndexes[m.Class]}
	if t, ok := n.cfg.TenantIndexes[m.Tenant]; ok && m.Tenant != "" {
		event.Tenant = t
	}
	return event
}

func (n *Node) handlePut(ev putEvent) {
	id := ev.message.ID
	_, recentlyEnded := n.recentIDs[id]
	if n.held[id] != nil || n.journal.Entry(id) != nil || recentlyEnded {
		n.trace.duplicate(id)
		if n.putInThisStep(id) {
			n.newPuts = append(n.newPuts, ev) // it gets the same answer as the first
			return
		}
		ev.answer <- answerOK
		return
	}
	maxOpen := n.cfg.Deployment.Settings.MaxOpen
	if maxOpen > 0 && n.openMessages >= maxOpen || !n.journal.HasRoom(len(ev.message.Body)) {
		n.trace.rejected(id, n.openMessages, maxOpen)
		ev.answer <- busyAnswer(0)
		return
	}
	message := ev.message
	n.held[id] = &heldMessage{message: &message}
	n.openMessages++
	n.newPuts = append(n.newPuts, ev)
	n.nextEvents = append(n.nextEvents, n.newMessageEvent(&message, n.clock.NowMicros()))
}

// putInThisStep reports whether the message was received since the last step.
func (n *Node) putInThisStep(id string) bool {
	for _, p := range n.newPuts {
		if p.message.ID == id {
			return true
		}
	}
	return false
}

func busyAnswer(retryIn logic.Micros) string {
	if retryIn <= 0 {
		return "-BUSY\r\n"
	}
	return fmt.Sprintf("-BUSY %d\r\n", (retryIn+999)/1000)
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
	alreadyEnded := h.ended
	done := r.outcome == logic.Completed || r.messageEnded
	n.trace.outcome(ev)
	switch {
	case alreadyEnded:
	case done:
		n.pendingRecords = append(n.pendingRecords, record{Op: opDone, ID: ev.call.id})
		n.endMessage(ev.call.id, h)
	default:
		n.pendingRecords = append(n.pendingRecords, record{Op: opOutcome, ID: ev.call.id, MayHaveRun: mayHaveRun(r.outcome)})
	}
	if h.ended {
		delete(n.held, ev.call.id)
	}
	n.nextEvents = append(n.nextEvents, logic.AttemptResult{ID: ev.call.id, MessageEnded: alreadyEnded || done, Endpoint: ev.call.endpoint,
		Attempt: ev.call.attempt, Outcome: r.outcome, Duration: toMicros(ev.duration), RetryAfter: toMicros(r.retryAfter),
		Load: n.parseLoadReport(r.loadReport)})
}

// parseLoadReport parses a load report and puts each field at the index that the settings give it; nil if there is
// none. Fields that cannot be parsed are skipped.
func (n *Node) parseLoadReport(report string) []float64 {
	settings := n.cfg.Deployment.Settings
	var load []float64
	for pair := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		index := -1
		switch name {
		case "x0":
			index = settings.LimitLeftIndex
		case "x1":
			index = settings.LimitIndex
		}
		number, err := strconv.ParseFloat(value, 64)
		if index < 0 || err != nil || !(number >= 0 && number <= math.MaxFloat32) {
			continue
		}
		for len(load) <= index {
			load = append(load, 0)
		}
		load[index] = number
	}
	return load
}

// mayHaveRun reports whether the endpoint may have processed an attempt with this outcome.
func mayHaveRun(o logic.Outcome) bool {
	return o != logic.Rejected && o != logic.ConnRefused && o != logic.NotSent
}

// endMessage removes a message from the tables. Its id is remembered until its deadline, so that a duplicate is
// recognised. A call of it that is still connecting is never written.
func (n *Node) endMessage(id string, h *heldMessage) {
	if h.ended {
		n.guard.recordViolation(ruleSingleEnd, "id", id)
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

// immediateAnswers returns the answers to messages that the decision logic ends in the step in which they were
// received: their clients get the end as the answer, and no notice follows.
func (n *Node) immediateAnswers(actions []logic.Action) map[string]string {
	answers := map[string]string{}
	if len(n.newPuts) == 0 {
		return answers
	}
	for _, a := range actions {
		switch a := a.(type) {
		case logic.Refuse:
			if n.putInThisStep(a.ID) {
				answers[a.ID] = busyAnswer(a.RetryIn)
			}
		case logic.Fail:
			if n.putInThisStep(a.ID) {
				answers[a.ID] = answerFailed
			}
		}
	}
	return answers
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

// dropUnaccepted forgets a message that was not accepted.
func (n *Node) dropUnaccepted(id string) {
	if h := n.held[id]; h != nil && !h.ended {
		n.openMessages--
		delete(n.held, id)
	}
}

package node

// Executing the actions of the decision logic: they are written to the journal first and then carried out.

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"crossdeal/internal/httpconn"
	"crossdeal/logic"
)

// executeActions writes the records of a step in one append, then answers clients and carries the actions out. A
// message gets its +OK, and a call is made, only once its record is written.
func (n *Node) executeActions(work context.Context, actions []logic.Action) {
	answers := n.immediateAnswers(actions)
	for i, p := range n.newPuts {
		duplicate := slices.ContainsFunc(n.newPuts[:i], func(other putEvent) bool { return other.message.ID == p.message.ID })
		if answers[p.message.ID] == "" && !duplicate {
			m := p.message
			n.pendingRecords = append(n.pendingRecords, record{Op: opAccept, Entry: &Entry{Message: m}})
		}
	}
	idleConns := map[string]*httpconn.Conn{} // idle connections that the calls of this step use
	denied := map[string]bool{}              // calls that the guard has denied
	for _, a := range actions {
		switch a := a.(type) {
		case logic.CallOut:
			if !n.permitCall(a.ID, a.Endpoint) {
				denied[a.ID] = true
				continue
			}
			if conn := n.transport.idle.Take(a.Endpoint, n.target(a.Endpoint).Address); conn != nil {
				idleConns[a.ID] = conn
				n.pendingRecords = append(n.pendingRecords, n.sendRecord(a.ID, a.Endpoint))
			} else {
				n.pendingRecords = append(n.pendingRecords, record{Op: opConnect, ID: a.ID})
			}
		case logic.Refuse, logic.Fail:
			notice := noticeOf(a)
			if answers[notice.ID] == "" && n.journal.Entry(notice.ID) != nil {
				n.pendingRecords = append(n.pendingRecords, record{Op: opEndWithNotice, ID: notice.ID, Notice: &notice})
			}
		}
	}
	err := n.journal.Append(n.pendingRecords)
	n.pendingRecords = nil
	if err != nil {
		n.log.Error("journal", "err", err)
		n.scheduleJournalRetry()
	}
	for _, p := range n.newPuts {
		switch answer := answers[p.message.ID]; {
		case answer != "":
			n.trace.notAccepted(p.message.ID, answer)
			p.answer <- answer
		case n.journal.Entry(p.message.ID) == nil: // not journaled, so not accepted
			n.refuse(p.answer)
			n.dropUnaccepted(p.message.ID)
			n.nextEvents = append(n.nextEvents, logic.ClientGone{ID: p.message.ID})
		default:
			n.trace.accepted(&p.message)
			p.answer <- answerOK
		}
	}
	n.newPuts = nil
	for _, a := range actions {
		if call, ok := a.(logic.CallOut); ok && denied[call.ID] {
			n.reportDeniedCall(call)
			continue
		}
		n.executeAction(work, a, answers, idleConns, err == nil)
	}
}

// reportDeniedCall tells the decision logic after retryDelay that a call was not sent, since the guard has denied it.
func (n *Node) reportDeniedCall(a logic.CallOut) {
	h := n.held[a.ID]
	if h == nil {
		n.reportUnacceptedCall(a)
		return
	}
	ev := replyEvent{&call{id: a.ID, attempt: h.attempts, endpoint: a.Endpoint, state: new(atomic.Int32)}, callResult{outcome: logic.NotSent}, 0}
	h.attempts++
	time.AfterFunc(retryDelay, func() { n.events <- ev })
}

func (n *Node) executeAction(work context.Context, a logic.Action, answers map[string]string, idleConns map[string]*httpconn.Conn, journaled bool) {
	switch a := a.(type) {
	case logic.CallOut:
		n.startCall(work, a, idleConns[a.ID], journaled)
	case logic.Cancel:
		if h := n.held[a.ID]; h != nil && h.cancelCall != nil && h.attempts-1 == a.Attempt {
			n.trace.cancelled(a)
			h.cancelCall(nil)
		}
	case logic.Refuse, logic.Fail:
		notice := noticeOf(a)
		if answers[notice.ID] != "" {
			n.dropUnaccepted(notice.ID)
			return
		}
		if h := n.held[notice.ID]; h != nil && !h.ended {
			n.trace.ended(notice)
			n.endMessage(notice.ID, h)
			n.tellEnd(notice, n.clock.Time(h.message.Deadline))
		}
	case logic.SetTimer:
		ev := logic.TimerExpired{Token: a.Token}
		time.AfterFunc(toDuration(a.Wait), func() { n.events <- ev })
	case logic.Probe:
		n.probe(work, a.Endpoint)
	case logic.Release:
		n.transport.idle.CloseKey(a.Endpoint)
	case logic.Listen:
		n.watchList(work)
	case logic.Log:
		n.log.Info(a.Text)
	}
}

package node

// What the module has decided is written to the journal and then done.

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"crossdeal/logic"
)

// executeActions writes the journal and then acts.
func (n *Node) executeActions(work context.Context, actions []logic.Action) {
	answers := n.immediateAnswers(actions)
	for i, p := range n.newPuts {
		again := slices.ContainsFunc(n.newPuts[:i], func(x putEvent) bool { return x.message.ID == p.message.ID })
		if answers[p.message.ID] == "" && !again {
			m := p.message
			n.pendingRecords = append(n.pendingRecords, record{Op: opAccept, Entry: &Entry{Message: m}})
		}
	}
	kept := map[string]*endpointConn{} // what the calls of this step use
	denied := map[string]bool{}        // calls that are not made
	for _, a := range actions {
		switch a := a.(type) {
		case logic.CallOut:
			if !n.permitCall(a.ID, a.Endpoint) {
				denied[a.ID] = true
				continue
			}
			if conn := n.transport.takeIdle(a.Endpoint, n.target(a.Endpoint).Address); conn != nil {
				kept[a.ID] = conn
				n.pendingRecords = append(n.pendingRecords, n.sendRecord(a.ID, a.Endpoint))
			} else {
				n.pendingRecords = append(n.pendingRecords, record{Op: opConnect, ID: a.ID})
			}
		case logic.Refuse, logic.Fail:
			x := noticeOf(a)
			if answers[x.ID] == "" && n.journal.Entry(x.ID) != nil {
				n.pendingRecords = append(n.pendingRecords, record{Op: opEndWithNotice, ID: x.ID, Notice: &x})
			}
		}
	}
	err := n.journal.Append(n.pendingRecords)
	n.pendingRecords = nil
	if err != nil {
		n.log.Error("journal", "err", err)
	}
	for _, p := range n.newPuts {
		switch answer := answers[p.message.ID]; {
		case answer != "":
			n.trace.notAccepted(p.message.ID, answer)
			p.answer <- answer
		case err != nil: // not written, so not taken on
			p.answer <- busyAnswer(0)
			n.dropUnaccepted(p.message.ID)
			n.nextEvents = append(n.nextEvents, logic.ClientGone{ID: p.message.ID})
		default:
			n.trace.accepted(&p.message)
			p.answer <- answerOK
		}
	}
	n.newPuts = nil
	for _, a := range actions {
		if out, ok := a.(logic.CallOut); ok && denied[out.ID] {
			n.reportDeniedCall(out)
			continue
		}
		n.executeAction(work, a, answers, kept, err == nil)
	}
}

// reportDeniedCall answers the module for a call that the guard has stopped: it was never sent.
func (n *Node) reportDeniedCall(a logic.CallOut) {
	h := n.held[a.ID]
	ev := replyEvent{&call{id: a.ID, attempt: h.attempts, endpoint: a.Endpoint, state: new(atomic.Int32)}, callResult{outcome: logic.NotSent}, 0}
	h.attempts++
	time.AfterFunc(retryDelay, func() { n.events <- ev })
}

func (n *Node) executeAction(work context.Context, a logic.Action, answers map[string]string, kept map[string]*endpointConn, written bool) {
	switch a := a.(type) {
	case logic.CallOut:
		n.startCall(work, a, kept[a.ID], written)
	case logic.Cancel:
		if h := n.held[a.ID]; h != nil && h.cancelCall != nil && h.attempts-1 == a.Attempt {
			n.trace.cancelled(a)
			h.cancelCall(nil)
		}
	case logic.Refuse, logic.Fail:
		x := noticeOf(a)
		if answers[x.ID] != "" {
			n.dropUnaccepted(x.ID)
			return
		}
		if h := n.held[x.ID]; h != nil && !h.ended {
			n.trace.ended(x)
			n.endMessage(x.ID, h)
			n.notices.add(x)
		}
	case logic.SetTimer:
		ev := logic.TimerExpired{Token: a.Token}
		time.AfterFunc(toDuration(a.Wait), func() { n.events <- ev })
	case logic.Probe:
		n.probe(work, a.Endpoint)
	case logic.Release:
		n.transport.closeIdle(a.Endpoint)
	case logic.Listen:
		n.watchList(work)
	case logic.Log:
		n.log.Info(a.Text)
	}
}

package node

// What waits while the state folder fails: answers and notices that the journal would contradict after a kill.

import "time"

// journalRetryDelay is the time between two attempts to repair the journal.
const journalRetryDelay = 20 * time.Millisecond

// journalRetryEvent says that the journal is to be repaired.
type journalRetryEvent struct{}

// unsaved is what waits for the journal. It belongs to the loop.
type unsaved struct {
	retryScheduled bool
	refusals       []chan<- string // clients whose refused messages may still be in the file
	ends           []unsavedEnd
}

// unsavedEnd is the end of a message whose record is not in the file yet. The next start would send the message again.
type unsavedEnd struct {
	notice   Notice
	deadline time.Time // of the message: no start sends it afterwards
}

// tellEnd sends the notice of a message's end, once its record is in the journal's file or its deadline has passed.
func (n *Node) tellEnd(notice Notice, deadline time.Time) {
	if n.journal.Saved() || !time.Now().Before(deadline) {
		n.notices.add(notice)
		return
	}
	n.unsaved.ends = append(n.unsaved.ends, unsavedEnd{notice, deadline})
	n.scheduleJournalRetry()
}

// refuse answers a message that was not journaled with -BUSY. While a kill could bring the message back the answer waits:
// its client hands the message in elsewhere once it is refused.
func (n *Node) refuse(answer chan<- string) {
	if !n.journal.TailUnknown() {
		answer <- busyAnswer(0)
		return
	}
	n.unsaved.refusals = append(n.unsaved.refusals, answer)
	n.scheduleJournalRetry()
}

// scheduleJournalRetry makes the loop repair the journal after journalRetryDelay.
func (n *Node) scheduleJournalRetry() {
	if n.unsaved.retryScheduled {
		return
	}
	n.unsaved.retryScheduled = true
	time.AfterFunc(journalRetryDelay, func() { n.events <- journalRetryEvent{} })
}

// repairJournal tries to bring the journal's file in line with what this process knows, and carries out what has waited
// for it.
func (n *Node) repairJournal() {
	n.unsaved.retryScheduled = false
	if err := n.journal.Flush(); err != nil {
		n.scheduleJournalRetry()
	}
	if !n.journal.TailUnknown() {
		n.answerRefusals()
	}
	n.tellSavedEnds()
}

// tellSavedEnds sends the notices that no longer have to wait.
func (n *Node) tellSavedEnds() {
	waiting := n.unsaved.ends
	n.unsaved.ends = nil
	for _, end := range waiting {
		n.tellEnd(end.notice, end.deadline)
	}
}

// answerRefusals answers the clients that wait for the refusal of their messages.
func (n *Node) answerRefusals() {
	for _, answer := range n.unsaved.refusals {
		answer <- busyAnswer(0)
	}
	n.unsaved.refusals = nil
}

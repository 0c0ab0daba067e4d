package node

// What waits while the state folder fails: answers that the journal could still contradict after a kill.

import "time"

// journalRetryDelay is the time between two attempts to repair the journal.
const journalRetryDelay = 20 * time.Millisecond

// journalRetryEvent says that the journal is to be repaired.
type journalRetryEvent struct{}

// unsaved is what waits for the journal. It belongs to the loop.
type unsaved struct {
	retryScheduled bool
	refusals       []chan<- string // clients whose refused messages may still be in the file
}

// refuse answers a message that was not journaled with -BUSY. While a kill could bring the message back the answer waits:
// its client hands the message in elsewhere once it is refused.
func (n *Node) refuse(answer chan<- string) {
	if !n.journal.TailDirty() {
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
	if err := n.journal.CutTail(); err != nil {
		n.scheduleJournalRetry()
		return
	}
	n.answerRefusals()
}

// answerRefusals answers the clients that wait for the refusal of their messages.
func (n *Node) answerRefusals() {
	for _, answer := range n.unsaved.refusals {
		answer <- busyAnswer(0)
	}
	n.unsaved.refusals = nil
}

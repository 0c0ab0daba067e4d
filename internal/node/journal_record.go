package node

// The records of the journal, and what they make of the entries.

import (
	"encoding/json"
	"errors"
	"fmt"

	"crossdeal/internal/clock"
	"crossdeal/internal/wal"
)

// Message is a message as a client submitted it.
type Message struct {
	ID             string `json:"id"`
	IdempotencyKey string `json:"key,omitempty"`
	OrderKey       string `json:"order,omitempty"`
	Class          string `json:"class"`
	Tenant         string `json:"tenant,omitempty"`
	Destination    int64  `json:"dest"`
	Deadline       int64  `json:"deadline"` // Unix time in microseconds
	Body           []byte `json:"body,omitempty"`
}

// Notice reports the end of a message to the platform.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"` // failed or returned
	AfterMS int64  `json:"after_ms,omitempty"`
}

// Entry is the state of a message in the journal, which has not ended or whose notice the platform has not confirmed.
type Entry struct {
	Message
	Attempts          int     `json:"tries,omitempty"`
	Connecting        bool    `json:"begun,omitempty"`     // the last attempt has no outcome and was not written
	MaybeWritten      bool    `json:"open,omitempty"`      // the last attempt has no outcome, and may have been written
	MayHaveRun        bool    `json:"may_run,omitempty"`   // an earlier attempt may have run
	FirstMayHaveRunAt int64   `json:"first_may,omitempty"` // send time of the first attempt that may have run, in Unix µs
	FirstZone         int     `json:"zone,omitempty"`      // zone of the endpoint of that attempt
	EndNotice         *Notice `json:"end,omitempty"`
	sequence          int
	sizeBytes         int
}

// op is the type of a record. Its numbers are part of the file format.
type op byte

const (
	opAccept          op = iota + 1 // a message is accepted
	opSend                          // an attempt is about to be written
	opOutcome                       // the attempt has its outcome
	opDone                          // the message is delivered, or the endpoint reports that it has ended; no notice
	opEndWithNotice                 // the message was ended by this sender; its notice is to be sent
	opNoticeConfirmed               // the platform has confirmed the notice
	opDisableEndpoint               // an operator has disabled an endpoint; the record's id is the endpoint's name
	opEnableEndpoint                // an operator has enabled an endpoint again
	opConnect                       // an attempt is about to connect; opSend follows when it may be written
	opAnchor                        // a point of the timeline that the times of the other records are on
)

// record is a record of the journal, stored as JSON in a frame of package wal.
type record struct {
	Op         op      `json:"op"`
	ID         string  `json:"id,omitempty"`
	Entry      *Entry  `json:"entry,omitempty"`
	SentAt     int64   `json:"at,omitempty"`
	Zone       int     `json:"zone,omitempty"`
	MayHaveRun bool    `json:"may_run,omitempty"`
	Notice     *Notice `json:"notice,omitempty"`

	Anchor *clock.Anchor `json:"anchor,omitempty"`
}

// announces reports whether a record says what is about to happen: without the record it does not.
func (o op) announces() bool {
	switch o {
	case opAccept, opConnect, opSend, opDisableEndpoint, opEnableEndpoint:
		return true
	}
	return false
}

var errRecordTooLarge = errors.New("record exceeds the limit")

// appendRecord appends a record in its frame to b.
func appendRecord(b []byte, rec record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return b, err
	}
	if len(body) > maxRecordBytes {
		return b, fmt.Errorf("%w: %d bytes", errRecordTooLarge, len(body))
	}
	return wal.Append(b, body), nil
}

// apply applies a record to the entries.
func (j *Journal) apply(rec record) {
	switch rec.Op {
	case opAnchor:
		j.anchor, j.anchorInFile = rec.Anchor, true
		return
	case opDisableEndpoint:
		j.disabled[rec.ID] = true
		return
	case opEnableEndpoint:
		delete(j.disabled, rec.ID)
		return
	}
	if rec.Op == opAccept {
		if rec.Entry == nil || j.entries[rec.Entry.ID] != nil {
			return
		}
		e := rec.Entry
		j.lastSequence++
		e.sequence, e.sizeBytes = j.lastSequence, len(e.Body)*4/3+512
		j.liveBytes += int64(e.sizeBytes)
		j.entries[e.ID] = e
		return
	}
	e := j.entries[rec.ID]
	if e == nil {
		return
	}
	switch rec.Op {
	case opConnect:
		e.Attempts++
		e.Connecting = true
	case opSend:
		if !e.Connecting && !e.MaybeWritten { // otherwise it is the same attempt, on another connection
			e.Attempts++
		}
		e.Connecting, e.MaybeWritten = false, true
		if !e.MayHaveRun {
			e.FirstMayHaveRunAt, e.FirstZone = rec.SentAt, rec.Zone
		}
	case opOutcome:
		e.Connecting, e.MaybeWritten = false, false
		e.MayHaveRun = e.MayHaveRun || rec.MayHaveRun
	case opEndWithNotice:
		e.EndNotice = rec.Notice
		e.Body = nil
		j.liveBytes -= int64(e.sizeBytes - 512)
		e.sizeBytes = 512
	case opDone, opNoticeConfirmed:
		j.liveBytes -= int64(e.sizeBytes)
		delete(j.entries, rec.ID)
	}
}

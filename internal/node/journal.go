package node

// The journal: the file of accepted messages from which a restarted process resumes.
//
// A record says what is about to happen to a message or what has happened to it. The order of writes makes a crash
// safe:
//   - opAccept is in the file before the client gets its +OK.
//   - opConnect is in the file before a call connects, and opSend before the first byte of a call is written. After a
//     crash an attempt with only opConnect has not run, and one with opSend and no outcome may have run.
//   - opOutcome and opDone follow the end of an attempt. If writing one of these fails, the sender continues, and the
//     record is written with the next ones.
//   - opEndWithNotice is in the file before the notice is sent, or the message's deadline has passed: no start sends it
//     any more. opNoticeConfirmed follows the platform's confirmation, and the message leaves the journal.
//   - opAnchor comes before the first record with a time. The next start continues the timeline from it.
//   - opDisableEndpoint and opEnableEndpoint are in the file before the operator gets an answer.
//
// Records are written with plain writes and no fsync: they survive the death of the process, and not a crash of the
// machine. A record that is torn by the death of the process is cut off at the next start.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

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

const (
	journalFileName = "journal"
	maxRecordBytes  = 1 << 20
	// acceptShare is the fraction of a file that entries may fill before new messages are rejected. The rest is for the
	// records that follow on messages already accepted.
	acceptShare = 0.6
	// maxBacklogBytes bounds the records that wait to be written; with more, the file is rewritten instead.
	maxBacklogBytes = 64 << 10
	maxAnchorBytes  = 256 // of the record of an anchor
	// maxJournalFileBytes bounds a file where the platform sets no tighter limit; files may count as memory.
	maxJournalFileBytes = 16 << 20
)

// errJournalFull means that records do not fit in the journal, even after a rewrite.
var errJournalFull = errors.New("journal full")

// Journal keeps accepted messages in a file that outlives the process. Records are appended; a file that reaches its
// limit is rewritten with the entries that are left. It is not safe for concurrent use.
type Journal struct {
	dir            string
	files          fileSystem
	file           journalFile
	size           int64
	limit          int64 // of one file, in bytes; during a rewrite there are two files
	truncatedBytes int64 // bytes after the last whole record that were cut off when it was opened
	liveBytes      int64 // estimated size of what a rewrite keeps
	lastSequence   int
	entries        map[string]*Entry
	disabled       map[string]bool // endpoints that an operator has disabled
	anchor         *clock.Anchor   // of the timeline; nil if none is known
	anchorInFile   bool
	backlog        []byte // records that are applied to entries and could not be written yet
	needsRewrite   bool   // entries has further changes that the file lacks: rewrite before the next append
	failing        bool   // the last write has failed
	tailDirty      bool   // bytes of a failed write may follow size: cut them off before the next append
}

// journalFileLimit returns the limit of the journal's file for a disk limit; diskBytes is 0 where there is none. Two
// files have to fit on the disk during a rewrite.
func journalFileLimit(diskBytes int64) int64 {
	if diskBytes <= 0 {
		return maxJournalFileBytes
	}
	return min(diskBytes*45/100, maxJournalFileBytes)
}

// OpenJournal replays the journal in dir, cuts off a torn end and opens it for appending. Together its files stay under
// diskBytes.
func OpenJournal(dir string, diskBytes int64) (*Journal, error) {
	return openJournalOn(systemFiles{}, dir, diskBytes)
}

func openJournalOn(files fileSystem, dir string, diskBytes int64) (*Journal, error) {
	j := &Journal{dir: dir, files: files, entries: map[string]*Entry{}, disabled: map[string]bool{}, limit: journalFileLimit(diskBytes)}
	_ = files.Remove(j.path(".new")) // of a rewrite that was cut short; if it stays, the next rewrite replaces it
	f, err := files.Open(j.path(""), os.O_RDWR|os.O_CREATE)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	if err := j.replay(f); err != nil {
		f.Close()
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.file = f
	return j, nil
}

func (j *Journal) path(suffix string) string { return filepath.Join(j.dir, journalFileName+suffix) }

// replay applies the records up to the first one that is not whole and cuts off the file behind them. If it cannot be
// cut now, the tail stays dirty.
func (j *Journal) replay(f journalFile) error {
	r := wal.NewReader(f, maxRecordBytes)
	for {
		body, err := r.Next()
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, wal.ErrTorn) {
				return err // a read error: the records behind it may be whole and must not be cut off
			}
			break
		}
		var rec record
		if err := json.Unmarshal(body, &rec); err != nil {
			break
		}
		j.apply(rec)
		j.size = r.Offset()
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	j.truncatedBytes = info.Size() - j.size
	j.tailDirty = j.truncatedBytes > 0 && f.Truncate(j.size) != nil
	return nil
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
		if !e.Connecting {
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

// Anchor returns the point of the timeline that the times of the entries are on; nil for journals of earlier versions,
// whose times are those of the wall clock.
func (j *Journal) Anchor() *clock.Anchor { return j.anchor }

// SetAnchor sets the point of the timeline. It is written with the next records.
func (j *Journal) SetAnchor(a clock.Anchor) { j.anchor, j.anchorInFile = &a, false }

// HasRoom reports whether the journal has room for a message with a body of that many bytes.
func (j *Journal) HasRoom(bodyBytes int) bool {
	return float64(j.liveBytes)+float64(bodyBytes)*4/3+512 <= acceptShare*float64(j.limit)
}

// Append writes records with a single write, so that a process that dies leaves no record in the file without all those
// before it. On an error the caller must not carry out what opAccept, opConnect, opSend or an operator's command
// announces; while TailDirty, a kill may still leave some of these records to the next start. Records of what has
// already happened are applied to the entries all the same, and are written with the next append, or by Flush.
func (j *Journal) Append(recs []record) error {
	if len(recs) == 0 {
		return nil
	}
	err := j.write(recs)
	for _, rec := range recs {
		if err != nil {
			if rec.Op.announces() {
				continue
			}
			j.addToBacklog(rec)
		}
		j.apply(rec)
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// announces reports whether a record says what is about to happen: without the record it does not.
func (o op) announces() bool {
	switch o {
	case opAccept, opConnect, opSend, opDisableEndpoint, opEnableEndpoint:
		return true
	}
	return false
}

// addToBacklog keeps a record for the next write.
func (j *Journal) addToBacklog(rec record) {
	b, err := appendRecord(j.backlog, rec)
	if err != nil || len(b) > maxBacklogBytes {
		j.backlog, j.needsRewrite = nil, true
		return
	}
	j.backlog = b
}

// Saved reports whether the file has all that the entries have.
func (j *Journal) Saved() bool { return len(j.backlog) == 0 && !j.needsRewrite }

// Flush writes what the file lacks, and cuts off what a failed write has left behind the last record.
func (j *Journal) Flush() error {
	if j.Saved() {
		return j.CutTail()
	}
	return j.write(nil)
}

// write writes the backlog and then recs.
func (j *Journal) write(recs []record) error {
	var added []byte
	for _, rec := range recs {
		var err error
		if added, err = appendRecord(added, rec); err != nil {
			return err
		}
	}
	if err := j.CutTail(); err != nil {
		return err
	}
	if j.needsRewrite || j.size+int64(len(j.backlog)+len(added)+maxAnchorBytes) > j.limit {
		if err := j.Compact(); err != nil {
			return err
		}
	}
	err := j.writeAtEnd(slices.Concat(j.backlog, added))
	if err != nil && j.failing && j.Compact() == nil { // the file itself may be the cause: go on with a new one
		err = j.writeAtEnd(added)
	}
	if j.failing = err != nil; j.failing {
		return err
	}
	j.backlog = nil
	return nil
}

// writeAtEnd writes records behind the last one, after the anchor if the file has none.
func (j *Journal) writeAtEnd(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if j.anchor != nil && !j.anchorInFile {
		anchor, err := appendRecord(nil, record{Op: opAnchor, Anchor: j.anchor})
		if err != nil {
			return err
		}
		b = append(anchor, b...)
	}
	if j.size+int64(len(b)) > j.limit {
		return errJournalFull
	}
	if _, err := j.file.WriteAt(b, j.size); err != nil {
		// Whole records may be in the file, whatever count the write gave. A replay would apply them, and cut off later
		// records behind a torn one.
		j.tailDirty = true
		return errors.Join(err, j.CutTail())
	}
	j.size += int64(len(b))
	j.anchorInFile = true
	return nil
}

// TailDirty reports whether bytes of a failed write could not be cut off: the next start may find records in the file
// whose Append has failed.
func (j *Journal) TailDirty() bool { return j.tailDirty }

// CutTail cuts off what a failed write has left behind the last record, by a rewrite if the file cannot be truncated.
func (j *Journal) CutTail() error {
	if !j.tailDirty {
		return nil
	}
	if info, err := j.file.Stat(); err == nil && info.Size() <= j.size {
		j.tailDirty = false // nothing was written
		return nil
	}
	err := j.file.Truncate(j.size)
	if err == nil {
		j.tailDirty = false
		return nil
	}
	if rewriteErr := j.Compact(); rewriteErr != nil {
		return errors.Join(err, rewriteErr)
	}
	return nil
}

func appendRecord(b []byte, rec record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return b, err
	}
	if len(body) > maxRecordBytes {
		return b, fmt.Errorf("record of %d bytes exceeds the limit", len(body))
	}
	return wal.Append(b, body), nil
}

// Compact rewrites the journal with the entries that are left. The new file replaces the old one by a rename once it is
// complete.
func (j *Journal) Compact() error {
	f, err := j.files.Open(j.path(".new"), os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	b, err := j.encodeEntries()
	if err == nil && int64(len(b)) > j.limit {
		err = errJournalFull
	}
	if err == nil {
		_, err = f.WriteAt(b, 0)
	}
	if err == nil {
		err = j.files.Rename(j.path(".new"), j.path(""))
	}
	if err != nil {
		f.Close()
		return errors.Join(err, j.files.Remove(j.path(".new")))
	}
	j.file.Close()
	j.file, j.size = f, int64(len(b))
	j.backlog, j.needsRewrite, j.tailDirty = nil, false, false
	j.anchorInFile = len(b) > 0
	return nil
}

// encodeEntries returns the records of a file that holds the entries and the disabled endpoints only. A file with
// entries begins with the anchor of their times.
func (j *Journal) encodeEntries() (b []byte, err error) {
	if j.anchor != nil && len(j.entries) > 0 {
		if b, err = appendRecord(b, record{Op: opAnchor, Anchor: j.anchor}); err != nil {
			return nil, err
		}
	}
	for _, id := range j.DisabledEndpoints() {
		if b, err = appendRecord(b, record{Op: opDisableEndpoint, ID: id}); err != nil {
			return nil, err
		}
	}
	for _, e := range j.Entries() {
		if b, err = appendRecord(b, record{Op: opAccept, Entry: e}); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// Entries returns the entries in the order in which their messages were accepted.
func (j *Journal) Entries() []*Entry {
	list := make([]*Entry, 0, len(j.entries))
	for _, e := range j.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *Entry) int { return a.sequence - b.sequence })
	return list
}

// DisabledEndpoints returns the names of the endpoints that operators have disabled, sorted.
func (j *Journal) DisabledEndpoints() []string { return slices.Sorted(maps.Keys(j.disabled)) }

// Entry returns the entry of a message; nil if the journal has none.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Close closes the file.
func (j *Journal) Close() error { return j.file.Close() }

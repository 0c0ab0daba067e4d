package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"crossdeal/internal/wal"
)

// Message is a message as a client handed it in.
type Message struct {
	ID             string `json:"id"`
	IdempotencyKey string `json:"key,omitempty"`   // idempotency key
	OrderKey       string `json:"order,omitempty"` // order key
	Class          string `json:"class"`
	Tenant         string `json:"tenant,omitempty"`
	Destination    int64  `json:"dest"`
	Deadline       int64  `json:"deadline"` // Unix time in microseconds
	Body           []byte `json:"body,omitempty"`
}

// Notice is the end of a message as the platform is told of it.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"` // failed or returned
	AfterMS int64  `json:"after_ms,omitempty"`
}

// Entry is what the journal knows of a message that is not over, or whose end the
// platform has yet to confirm.
type Entry struct {
	Message
	Attempts          int     `json:"tries,omitempty"`
	Connecting        bool    `json:"begun,omitempty"`     // the last attempt has no outcome, and still connects
	MaybeWritten      bool    `json:"open,omitempty"`      // the last attempt has no outcome, and may have been written
	MayHaveRun        bool    `json:"may_run,omitempty"`   // an earlier one may have run
	FirstMayHaveRunAt int64   `json:"first_may,omitempty"` // when the first that may have run was sent, Unix microseconds
	FirstZone         int     `json:"zone,omitempty"`      // zone of its endpoint
	EndNotice         *Notice `json:"end,omitempty"`
	sequence          int
	sizeBytes         int
}

// op is the kind of a record.
type op byte

const (
	opAccept          op = iota + 1 // a message is taken on
	opSend                          // an attempt is about to be written
	opOutcome                       // it has its outcome
	opDone                          // delivered, or over without our word
	opEndWithNotice                 // ended by us; the notice is owed
	opNoticeConfirmed               // the notice is confirmed
	opDisableEndpoint               // an operator has taken an endpoint out; the id is the endpoint's
	opEnableEndpoint                // and put it back
	opConnect                       // an attempt is about to connect; opSend follows once it may be written
)

// record is one line of the journal.
type record struct {
	Op         op      `json:"op"`
	ID         string  `json:"id,omitempty"`
	Entry      *Entry  `json:"entry,omitempty"`
	SentAt     int64   `json:"at,omitempty"`
	Zone       int     `json:"zone,omitempty"`
	MayHaveRun bool    `json:"may_run,omitempty"`
	Notice     *Notice `json:"notice,omitempty"`
}

const (
	journalFileName = "journal"
	maxRecordBytes  = 1 << 20
	// acceptShare is the part of a file that entries may fill before new messages are turned away: the rest is
	// room for what becomes of those already taken on.
	acceptShare = 0.6
	// maxJournalFileBytes bounds a file where the platform sets no tighter limit; files count as memory.
	maxJournalFileBytes = 16 << 20
)

// errJournalFull says that the journal has no room for another message.
var errJournalFull = errors.New("journal full")

// Journal keeps accepted messages in a file that outlives the process. Its
// records are appended; a file that grows too long is rewritten with what is
// still owed. It is not safe for concurrent use.
type Journal struct {
	dir            string
	file           *os.File
	size           int64
	limit          int64 // of one file; for the time of a rewrite there are two
	truncatedBytes int64 // bytes that were not whole records when it was opened
	liveBytes      int64 // rough size of what a rewrite keeps
	lastSequence   int
	entries        map[string]*Entry
	disabled       map[string]bool // endpoints that an operator has taken out
	needsRewrite   bool            // the file lacks something that entries has: rewrite before the next append
}

// journalFileLimit bounds the journal's file where the platform gives so many bytes of disk.
func journalFileLimit(diskBytes int64) int64 {
	if diskBytes <= 0 {
		return maxJournalFileBytes
	}
	return min(diskBytes*45/100, maxJournalFileBytes)
}

// OpenJournal replays the journal in dir, cuts a torn end off and makes it ready
// for appending. Together its files stay under diskBytes.
func OpenJournal(dir string, diskBytes int64) (*Journal, error) {
	j := &Journal{dir: dir, entries: map[string]*Entry{}, disabled: map[string]bool{}, limit: journalFileLimit(diskBytes)}
	if err := os.Remove(j.path(".new")); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	f, err := os.OpenFile(j.path(""), os.O_RDWR|os.O_CREATE, 0o600)
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

// replay reads records up to the first that is not whole and cuts off the rest.
func (j *Journal) replay(f *os.File) error {
	r := wal.NewReader(f, maxRecordBytes)
	for {
		body, err := r.Next()
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, wal.ErrTorn) {
				return err // what could not be read may well be whole: it must not be cut off
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
	if err := f.Truncate(j.size); err != nil {
		return err
	}
	_, err = f.Seek(j.size, io.SeekStart)
	return err
}

// apply brings the entries up to date with a record.
func (j *Journal) apply(rec record) {
	switch rec.Op {
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

// HasRoom says whether the journal can take on a message with such a body.
func (j *Journal) HasRoom(body int) bool {
	return float64(j.liveBytes)+float64(body)*4/3+512 <= acceptShare*float64(j.limit)
}

// Append writes records in one go, so that a process that dies leaves all of the
// earlier ones before any later one. On an error none of them is in the file:
// the caller must not act on a message taken on, a send or an operator's word. What only records the
// past counts all the same, and gets into the file with the next rewrite.
func (j *Journal) Append(recs []record) error {
	if len(recs) == 0 {
		return nil
	}
	err := j.write(recs)
	for _, rec := range recs {
		switch rec.Op {
		case opAccept, opConnect, opSend, opDisableEndpoint, opEnableEndpoint:
			if err != nil {
				continue
			}
		}
		j.apply(rec)
	}
	if err != nil {
		j.needsRewrite = true
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

func (j *Journal) write(recs []record) error {
	var b []byte
	for _, rec := range recs {
		var err error
		if b, err = appendRecord(b, rec); err != nil {
			return err
		}
	}
	if j.needsRewrite || j.size+int64(len(b)) > j.limit {
		if err := j.Compact(); err != nil {
			return err
		}
	}
	if j.size+int64(len(b)) > j.limit {
		return errJournalFull
	}
	if n, err := j.file.WriteAt(b, j.size); err != nil {
		if n > 0 {
			// What was written in part must not stand before later records: they would be cut off with it.
			err = errors.Join(err, j.file.Truncate(j.size))
		}
		return err
	}
	j.size += int64(len(b))
	return nil
}

func appendRecord(b []byte, rec record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return b, err
	}
	if len(body) > maxRecordBytes {
		return b, fmt.Errorf("record of %d bytes", len(body))
	}
	return wal.Append(b, body), nil
}

// Compact rewrites the journal with what is still owed. The old file stands until
// the new one is whole.
func (j *Journal) Compact() error {
	var b []byte
	for _, id := range j.DisabledEndpoints() {
		var err error
		if b, err = appendRecord(b, record{Op: opDisableEndpoint, ID: id}); err != nil {
			return err
		}
	}
	for _, e := range j.Entries() {
		var err error
		if b, err = appendRecord(b, record{Op: opAccept, Entry: e}); err != nil {
			return err
		}
	}
	if int64(len(b)) > j.limit {
		return errJournalFull
	}
	f, err := os.OpenFile(j.path(".new"), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(b, 0)
	if err == nil {
		err = os.Rename(j.path(".new"), j.path(""))
	}
	if err != nil {
		f.Close()
		return errors.Join(err, os.Remove(j.path(".new")))
	}
	j.file.Close()
	j.file, j.size, j.needsRewrite = f, int64(len(b)), false
	return nil
}

// Entries lists what is owed, in the order in which it was taken on.
func (j *Journal) Entries() []*Entry {
	list := make([]*Entry, 0, len(j.entries))
	for _, e := range j.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *Entry) int { return a.sequence - b.sequence })
	return list
}

// DisabledEndpoints lists the endpoints that operators have taken out.
func (j *Journal) DisabledEndpoints() []string { return slices.Sorted(maps.Keys(j.disabled)) }

// Entry returns what is known of a message; nil if nothing is owed for it.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Close closes the file.
func (j *Journal) Close() error { return j.file.Close() }

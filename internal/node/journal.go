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
	"time"

	"crossdeal/internal/clock"
	"crossdeal/internal/wal"
)

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
	// folderRetryDelay is the time after a write that failed in which appends fail without another attempt.
	folderRetryDelay = 10 * time.Millisecond
)

// errJournalFull means that records do not fit in the journal, even after a rewrite.
var errJournalFull = errors.New("journal full")

// errFolderFailing means that the last write failed a moment ago.
var errFolderFailing = errors.New("the state folder fails")

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
	tailDirty      bool   // bytes of a failed write may follow size
	tailUnknown    bool   // with tailDirty: they may hold whole records
	retryDelay     time.Duration
	retryAt        time.Time // appends fail at once before this: the last write has failed
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
	j, err := openJournalOn(systemFiles{}, dir, diskBytes)
	if err != nil {
		return nil, err
	}
	j.retryDelay = folderRetryDelay
	return j, nil
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
	j.tailUnknown = j.tailDirty // behind the broken record there may be whole ones
	return nil
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

package node

// Writing to the journal: appending records, repairing the file after a write that failed, and rewriting it.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"crossdeal/internal/wal"
)

// Append writes records with a single write, so that a process that dies leaves no record in the file without all those
// before it. Records that are in the file are applied to the entries, also if the write failed behind them. On an error
// the caller must not carry out what an opAccept, opConnect, opSend or operator's command announces that was not applied;
// while TailUnknown, a kill may still leave some of these records to the next start. Records of what has already happened
// are applied all the same, and are written with the next append, or by Flush.
func (j *Journal) Append(recs []record) error {
	if len(recs) == 0 {
		return nil
	}
	written, err := 0, errFolderFailing
	if !time.Now().Before(j.retryAt) {
		written, err = j.write(recs)
	}
	for _, rec := range recs[written:] {
		if rec.Op.announces() {
			continue
		}
		j.addToBacklog(rec)
		j.apply(rec)
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
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
		return j.prepareTail()
	}
	_, err := j.write(nil)
	return err
}

// write is writeNow and, after an error of the folder, makes appends fail at once for retryDelay: each attempt to write
// and to repair the file may take long while the folder fails, and the loop waits for it.
func (j *Journal) write(recs []record) (written int, err error) {
	written, err = j.writeNow(recs)
	j.retryAt = time.Time{}
	if err != nil && !errors.Is(err, errJournalFull) && !errors.Is(err, errRecordTooLarge) {
		j.retryAt = time.Now().Add(j.retryDelay)
	}
	return written, err
}

// writeNow writes the backlog and then recs. It applies the records that are in the file and returns their number.
func (j *Journal) writeNow(recs []record) (written int, err error) {
	encoded := make([][]byte, len(recs))
	for i, rec := range recs {
		if encoded[i], err = appendRecord(nil, rec); err != nil {
			return 0, err
		}
	}
	if err := j.prepareTail(); err != nil {
		return 0, err
	}
	added := 0
	for _, b := range encoded {
		added += len(b)
	}
	if j.needsRewrite || j.size+int64(len(j.backlog)+added+maxAnchorBytes) > j.limit {
		if err := j.Compact(); err != nil {
			return 0, err
		}
	}
	written, err = j.writeRecords(recs, encoded)
	if err != nil && j.failing && j.Compact() == nil { // the file itself may be the cause: go on with a new one
		var more int
		more, err = j.writeRecords(recs[written:], encoded[written:])
		written += more
	}
	j.failing = err != nil
	return written, err
}

// writeRecords writes the backlog and then recs behind the last record. It applies the records that are in the file and
// returns their number.
func (j *Journal) writeRecords(recs []record, encoded [][]byte) (written int, err error) {
	bytesWritten, err := j.writeAtEnd(slices.Concat(append([][]byte{j.backlog}, encoded...)...))
	fromBacklog := min(bytesWritten, len(j.backlog))
	if j.backlog = j.backlog[fromBacklog:]; len(j.backlog) == 0 {
		j.backlog = nil
	}
	bytesWritten -= fromBacklog
	for written < len(recs) && bytesWritten >= len(encoded[written]) {
		bytesWritten -= len(encoded[written])
		j.apply(recs[written])
		written++
	}
	return written, err
}

// writeAtEnd writes records behind the last one, after the anchor if the file has none. It returns the size of those that
// are in the file, which after an error may be some.
func (j *Journal) writeAtEnd(b []byte) (written int, err error) {
	if len(b) == 0 {
		return 0, nil
	}
	anchorBytes := 0
	if j.anchor != nil && !j.anchorInFile {
		anchor, err := appendRecord(nil, record{Op: opAnchor, Anchor: j.anchor})
		if err != nil {
			return 0, err
		}
		anchorBytes, b = len(anchor), append(anchor, b...)
	}
	if j.size+int64(len(b)) > j.limit {
		return 0, errJournalFull
	}
	written = len(b)
	if _, err = j.file.WriteAt(b, j.size); err != nil {
		// Whole records may be in the file, whatever count the write gave. A replay would apply them, and cut off later
		// records behind a torn one.
		j.tailDirty, written = true, 0
		if cutErr := j.CutTail(); cutErr != nil {
			err = errors.Join(err, cutErr)
			written = j.readBack(b)
		}
	}
	j.size += int64(written)
	j.anchorInFile = j.anchorInFile || written > 0
	return max(written-anchorBytes, 0), err
}

// readBack returns the size of the whole records of a failed write that are in the file. What follows them is a part of
// one record, which no start applies and the next write overwrites.
func (j *Journal) readBack(b []byte) (size int) {
	found := make([]byte, len(b))
	n, err := j.file.ReadAt(found, j.size)
	if err != nil && !errors.Is(err, io.EOF) {
		j.tailUnknown = true
		return 0
	}
	r := wal.NewReader(bytes.NewReader(found[:n]), maxRecordBytes)
	for err = nil; err == nil; {
		_, err = r.Next()
	}
	size = int(r.Offset())
	if !bytes.Equal(found[:size], b[:size]) { // records of another write
		j.tailUnknown = true
		return 0
	}
	return size
}

// TailUnknown reports whether bytes of a failed write could be neither cut off nor read back: the next start may find
// records in the file whose Append has failed.
func (j *Journal) TailUnknown() bool { return j.tailUnknown }

// prepareTail cuts off what a failed write has left behind the last record. If that fails, the bytes stay where the next
// write overwrites them, unless they may hold whole records.
func (j *Journal) prepareTail() error {
	if err := j.CutTail(); err != nil && j.tailUnknown {
		return err
	}
	return nil
}

// CutTail cuts off what a failed write has left behind the last record, by a rewrite if the file cannot be truncated.
func (j *Journal) CutTail() error {
	if !j.tailDirty {
		return nil
	}
	if info, err := j.file.Stat(); err == nil && info.Size() <= j.size {
		j.tailDirty, j.tailUnknown = false, false // nothing was written
		return nil
	}
	err := j.file.Truncate(j.size)
	if err == nil {
		j.tailDirty, j.tailUnknown = false, false
		return nil
	}
	if rewriteErr := j.Compact(); rewriteErr != nil {
		return errors.Join(err, rewriteErr)
	}
	return nil
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
	j.backlog, j.needsRewrite, j.tailDirty, j.tailUnknown = nil, false, false, false
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

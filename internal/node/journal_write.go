package node

// Writing to the journal: appending records, repairing the file after a write that failed, and rewriting it.

import (
	"errors"
	"fmt"
	"os"
	"slices"
)

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

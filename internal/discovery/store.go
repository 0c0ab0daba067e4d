// This file keeps the list on disk, so that a restarted process starts with it and asks discovery only for changes.
//
// The file is a write-ahead log in the framing of internal/wal. The first byte of a record's body is its kind; numbers
// are little endian. The file begins with a snapshot of a whole list: a header record, chunks of rows and an end
// record. Updates follow, each with a higher generation than the one before. A snapshot that is not whole makes the
// file unusable. The updates may have a torn end, as a process that dies during a write leaves it: a record that is
// truncated, has a wrong checksum, cannot be decoded or has no higher generation. It is cut off, with all that follows
// it, and the list is the one at the last whole update.

package discovery

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"iter"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"sync"

	"crossdeal/internal/wal"
)

// Kinds of records.
const (
	recordHeader           byte = iota + 1 // a snapshotHeader as JSON
	recordChunk                            // uint32 count of rows, then the rows as a JSON array, compressed (DEFLATE)
	recordEnd                              // a snapshotEnd as JSON
	recordUpdate                           // uint64 generation, uint32 count of rows, then the rows as a JSON array
	recordCompressedUpdate                 // the same with the rows compressed (DEFLATE)
)

// snapshotHeader is the first record of a snapshot.
type snapshotHeader struct {
	FormatVersion int    `json:"form"`
	Origin        string `json:"origin"` // the address that the list came from
	Generation    int64  `json:"generation"`
}

// snapshotEnd is the last record of a snapshot. A snapshot without it is not whole.
type snapshotEnd struct {
	RowCount   int   `json:"count"`
	Generation int64 `json:"generation"`
}

const (
	storeFileName         = "list"
	storeFormatVersion    = 1
	maxChunkRows          = 512
	fullChunkBytes        = 64 << 10 // a chunk is closed when its rows take this much JSON
	maxRecordBodyBytes    = 1 << 20
	maxRowsJSONBytes      = 4 << 20 // of the rows of one record
	minCompressBytes      = 4 << 10 // an update is compressed when its rows take this much JSON
	minReplaceUpdateBytes = 8 << 10 // a rewrite is not due while the updates take no more than this
	fileBlockBytes        = 512     // the size of a file is counted in whole blocks
	storeNewSuffix        = ".new"
)

var (
	errNoRoom              = errors.New("no room for the saved list on disk")
	errRecordTooLarge      = errors.New("too large for a record")
	errMissingUpdates      = errors.New("the saved list is missing earlier updates; the whole list has to be saved")
	errGenerationNotHigher = errors.New("generation is not higher")

	errUnknownFormat = errors.New("saved list: unknown format")
	errNoHeader      = errors.New("saved list: no header")
	errNoEnd         = errors.New("saved list: no end record")
	errCountMismatch = errors.New("saved list: wrong count")
	errBadRecord     = errors.New("saved list: bad record")
	errTooOld        = errors.New("saved list: older than requested")
	errNoSavedList   = fmt.Errorf("saved list: none: %w", fs.ErrNotExist)
)

// SavedInfo describes a saved list.
type SavedInfo struct {
	Origin     string // the address that the list came from, host:port
	Generation int64  // of its last update
	RowCount   int    // rows of the snapshot and of all updates, which Load passes on
}

// Store keeps the list of endpoints in the file "list" of a folder, as a snapshot followed by updates, so that a
// restarted sender asks only for changes. While the snapshot is rewritten there is a second file, "list.new". Written
// data survives the end of the process, but not necessarily a crash of the machine: the files are not synced.
//
// Only one process at a time may use a folder. A store is safe for concurrent use; its calls run one after the other.
type Store struct {
	dir         string
	budgetBytes int64
	log         *slog.Logger

	mu            sync.Mutex
	opened        bool
	hasList       bool  // the file holds a whole list
	loadErr       error // why it does not hold one
	saved         SavedInfo
	snapshotBytes int64
	fileBytes     int64
	fileInfo      os.FileInfo // of the file when this process last read or wrote it as a whole
	accessed      bool        // the list was loaded or replaced since the process started
	upToDate      bool        // the file holds all updates so far; otherwise the next one would leave a gap
	hasTornEnd    bool        // the file has a torn end that could not be cut off
}

// OpenStore returns the store in dir. The total size of its files, each rounded up to whole blocks of 512 bytes, stays
// within budget bytes at all times; with a budget of 0 it saves nothing and does not access the disk. The files are
// first accessed when the store is first used. Repairs, such as cutting off a torn end, are logged to log.
func OpenStore(dir string, budget int64, log *slog.Logger) *Store {
	return &Store{dir: dir, budgetBytes: budget, log: log}
}

func (s *Store) path() string    { return filepath.Join(s.dir, storeFileName) }
func (s *Store) newPath() string { return s.path() + storeNewSuffix }

// roundUpToBlocks returns the size of a file as it counts against the budget.
func roundUpToBlocks(size int64) int64 {
	return (size + fileBlockBytes - 1) / fileBlockBytes * fileBlockBytes
}

// fitsBudget reports whether the two files may have these sizes.
func (s *Store) fitsBudget(size, newSize int64) bool {
	return roundUpToBlocks(size)+roundUpToBlocks(newSize) <= s.budgetBytes
}

// open checks the files of an earlier process, on the first use of the store.
func (s *Store) open() {
	if s.opened || s.budgetBytes <= 0 {
		return
	}
	s.opened = true
	if err := removeIfExists(s.newPath()); err != nil {
		s.log.Warn("saved list: cannot remove an unfinished copy", "err", err)
	}
	if info, err := os.Stat(s.path()); err == nil && !s.fitsBudget(info.Size(), 0) {
		err := removeIfExists(s.path())
		s.log.Warn("saved list: larger than the budget; removing it", "bytes", info.Size(),
			"budget", s.budgetBytes, "err", err)
	}
	s.loadErr = s.scanFile()
	s.hasList = s.loadErr == nil
}

func removeIfExists(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// scanFile checks the whole file without decoding its rows, and cuts off a torn end after the last whole update.
func (s *Store) scanFile() error {
	f, err := os.OpenFile(s.path(), os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return errNoSavedList
	} else if err != nil {
		return fmt.Errorf("saved list: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return fmt.Errorf("saved list: %w", err)
	}
	s.fileBytes, s.fileInfo = info.Size(), info
	r := wal.NewReader(f, maxRecordBodyBytes)
	if s.saved, err = scanSnapshot(r); err != nil {
		return err
	}
	s.snapshotBytes = r.Offset()
	wholeBytes := s.snapshotBytes
	for {
		body, err := r.Next()
		if err == io.EOF {
			return nil
		} else if err != nil && !errors.Is(err, wal.ErrTorn) {
			return fmt.Errorf("saved list: %w", err)
		}
		var u updateRecord
		if err == nil {
			u, err = parseUpdate(body)
		}
		if err == nil && u.generation <= s.saved.Generation {
			err = fmt.Errorf("%w: from %d to %d", errGenerationNotHigher, s.saved.Generation, u.generation)
		}
		if err != nil {
			s.truncateAfter(f, wholeBytes, err)
			return nil
		}
		s.saved.Generation = u.generation
		s.saved.RowCount += u.rowCount
		wholeBytes = r.Offset()
	}
}

// scanSnapshot reads up to the end record and describes the snapshot.
func scanSnapshot(r *wal.Reader) (SavedInfo, error) {
	var saved SavedInfo
	next := func() ([]byte, error) {
		body, err := r.Next()
		switch {
		case err == io.EOF:
			return nil, errNoEnd
		case errors.Is(err, wal.ErrTorn):
			return nil, fmt.Errorf("%w: %w", errBadRecord, err)
		case err != nil:
			return nil, fmt.Errorf("saved list: %w", err)
		}
		return body, nil
	}
	body, err := next()
	if err != nil {
		return saved, err
	}
	var header snapshotHeader
	if body[0] != recordHeader || json.Unmarshal(body[1:], &header) != nil {
		return saved, errNoHeader
	}
	if header.FormatVersion != storeFormatVersion {
		return saved, fmt.Errorf("%w: %d", errUnknownFormat, header.FormatVersion)
	}
	saved.Origin, saved.Generation = header.Origin, header.Generation
	for {
		if body, err = next(); err != nil {
			return saved, err
		}
		switch body[0] {
		case recordChunk:
			n, _, err := parseChunk(body)
			if err != nil {
				return saved, err
			}
			saved.RowCount += n
		case recordEnd:
			var end snapshotEnd
			if err := json.Unmarshal(body[1:], &end); err != nil {
				return saved, fmt.Errorf("%w: end: %w", errBadRecord, err)
			}
			if end.RowCount != saved.RowCount || end.Generation != saved.Generation {
				return saved, fmt.Errorf("%w: %d rows at generation %d, but the end record says %d at %d", errCountMismatch,
					saved.RowCount, saved.Generation, end.RowCount, end.Generation)
			}
			return saved, nil
		default:
			return saved, fmt.Errorf("%w: kind %d within the snapshot", errBadRecord, body[0])
		}
	}
}

// parseChunk parses the body of a chunk.
func parseChunk(body []byte) (count int, compressed []byte, err error) {
	if len(body) < 5 {
		return 0, nil, fmt.Errorf("%w: chunk of %d bytes", errBadRecord, len(body))
	}
	return int(binary.LittleEndian.Uint32(body[1:])), body[5:], nil
}

// updateRecord is the parsed body of an update.
type updateRecord struct {
	generation int64
	rowCount   int
	rowsData   []byte
	compressed bool
}

const updateHeaderBytes = 13 // kind, generation, count

func parseUpdate(body []byte) (updateRecord, error) {
	if body[0] != recordUpdate && body[0] != recordCompressedUpdate || len(body) < updateHeaderBytes {
		return updateRecord{}, fmt.Errorf("%w: kind %d with %d bytes among the updates", errBadRecord, body[0], len(body))
	}
	return updateRecord{int64(binary.LittleEndian.Uint64(body[1:])), int(binary.LittleEndian.Uint32(body[9:])),
		body[updateHeaderBytes:], body[0] == recordCompressedUpdate}, nil
}

// truncateAfter cuts off what follows the last whole update.
func (s *Store) truncateAfter(f *os.File, wholeBytes int64, cause error) {
	err := f.Truncate(wholeBytes)
	s.log.Warn("saved list: cut behind the last whole update", "why", cause, "bytes", s.fileBytes-wholeBytes,
		"generation", s.saved.Generation, "err", err)
	s.fileBytes = wholeBytes
	s.hasTornEnd = err != nil // nothing may be appended after it
}

// Peek describes the list that Load would read, with the same errors, without decoding the rows.
func (s *Store) Peek() (SavedInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peek()
}

func (s *Store) peek() (SavedInfo, error) {
	s.open()
	switch {
	case s.hasList:
		return s.saved, nil
	case s.loadErr != nil:
		return SavedInfo{}, s.loadErr
	}
	return SavedInfo{}, errNoSavedList
}

// Load reads the saved list and passes it to handle: the rows of the snapshot, a few hundred at a time, and then the
// rows of each later update in order, with Lifecycle "removed" for endpoints that are gone. handle may keep the rows.
//
// The file is checked before the first row is passed on. One whose snapshot is not whole is rejected: the error says
// why, and is fs.ErrNotExist (wrapped) if nothing is saved. A torn end among the updates is not an error: it is cut
// off, and the rest is the list at the generation that Load returns. On an error, including one of handle, the caller
// has to drop the rows that it was given, and nothing can be appended until Replace. A process loads the list at its
// start. A later call only reads it: a file that lacks updates still lacks them.
func (s *Store) Load(handle func([]Instance) error) (SavedInfo, error) {
	return s.LoadAtLeast(math.MinInt64, handle)
}

// LoadAtLeast is like Load, but rejects a list that is older than a generation. The file is kept.
func (s *Store) LoadAtLeast(generation int64, handle func([]Instance) error) (SavedInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved, err := s.peek()
	if err != nil {
		return SavedInfo{}, err
	}
	firstAccess := !s.accessed
	s.accessed = true
	if saved.Generation >= generation {
		saved, err = s.readRows(handle)
	}
	if err == nil && saved.Generation < generation { // possibly because a torn end was cut off just now
		err = fmt.Errorf("%w: generation %d, want %d", errTooOld, saved.Generation, generation)
	}
	if err != nil {
		s.upToDate = false
		return SavedInfo{}, err
	}
	s.upToDate = (s.upToDate || firstAccess) && !s.hasTornEnd // a file that was missing updates still is
	return saved, nil
}

// readRows decodes the rows and passes them to handle.
func (s *Store) readRows(handle func([]Instance) error) (SavedInfo, error) {
	f, err := os.OpenFile(s.path(), os.O_RDWR, 0)
	if err != nil {
		return SavedInfo{}, fmt.Errorf("saved list: %w", err)
	}
	defer f.Close()
	r := wal.NewReader(io.LimitReader(f, s.fileBytes), maxRecordBodyBytes)
	var decoder rowDecoder
	loaded := SavedInfo{Origin: s.saved.Origin}
	for wholeBytes := int64(0); wholeBytes < s.fileBytes; wholeBytes = r.Offset() {
		body, err := r.Next()
		if err != nil {
			return SavedInfo{}, fmt.Errorf("saved list: reading it after the check: %w", err)
		}
		var rows []Instance
		switch body[0] {
		case recordHeader:
		case recordChunk:
			n, compressed, err := parseChunk(body)
			if err == nil {
				rows, err = decoder.decode(compressed, true, n)
			}
			if err != nil {
				s.hasList, s.loadErr = false, err
				return SavedInfo{}, err
			}
		case recordEnd:
			var end snapshotEnd
			if err := json.Unmarshal(body[1:], &end); err != nil {
				return SavedInfo{}, fmt.Errorf("%w: end: %w", errBadRecord, err)
			}
			loaded.Generation = end.Generation
		default:
			u, err := parseUpdate(body)
			if err == nil {
				rows, err = decoder.decode(u.rowsData, u.compressed, u.rowCount)
			}
			if err != nil {
				s.saved = loaded
				s.truncateAfter(f, wholeBytes, err)
				return loaded, nil
			}
			loaded.Generation = u.generation
		}
		if len(rows) == 0 {
			continue
		}
		if err := handle(rows); err != nil {
			return SavedInfo{}, err
		}
		loaded.RowCount += len(rows)
	}
	return loaded, nil
}

// rowDecoder decodes the rows of records.
type rowDecoder struct {
	decompressor io.ReadCloser
	rowsJSON     bytes.Buffer
}

// decode decodes the rows of a record, of which there must be count.
func (d *rowDecoder) decode(rowsJSON []byte, compressed bool, count int) ([]Instance, error) {
	if compressed {
		var err error
		if rowsJSON, err = d.decompress(rowsJSON); err != nil {
			return nil, fmt.Errorf("%w: %w", errBadRecord, err)
		}
	}
	var rows []Instance
	if err := json.Unmarshal(rowsJSON, &rows); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRecord, err)
	}
	if len(rows) != count {
		return nil, fmt.Errorf("%w: %d rows in a record of %d", errCountMismatch, len(rows), count)
	}
	return rows, nil
}

func (d *rowDecoder) decompress(compressed []byte) ([]byte, error) {
	input := bytes.NewReader(compressed)
	if d.decompressor == nil {
		d.decompressor = flate.NewReader(input)
	} else if err := d.decompressor.(flate.Resetter).Reset(input, nil); err != nil {
		return nil, err
	}
	d.rowsJSON.Reset()
	if _, err := d.rowsJSON.ReadFrom(io.LimitReader(d.decompressor, maxRowsJSONBytes+1)); err != nil {
		return nil, err
	}
	if d.rowsJSON.Len() > maxRowsJSONBytes {
		return nil, errRecordTooLarge
	}
	return d.rowsJSON.Bytes(), nil
}

// rowEncoder collects and encodes the rows of a record.
type rowEncoder struct {
	rowCount   int
	rowsJSON   []byte // a JSON array without its closing bracket
	compressed bytes.Buffer
	compressor *flate.Writer
	frame      []byte
}

// encoderPool keeps the compressors, which are large, for records that follow each other soon.
var encoderPool = sync.Pool{New: func() any { return new(rowEncoder) }}

// getEncoder returns an encoder without rows from encoderPool.
func getEncoder() *rowEncoder {
	e := encoderPool.Get().(*rowEncoder)
	e.rowCount = 0
	return e
}

// addRow adds a row. It fails if the JSON of all rows would take more than maxRowsJSONBytes.
func (e *rowEncoder) addRow(instance Instance) error {
	rowJSON, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	if e.rowCount == 0 {
		e.rowsJSON = e.rowsJSON[:0]
	}
	if len(e.rowsJSON)+len(rowJSON)+2 > maxRowsJSONBytes {
		return errRecordTooLarge
	}
	if e.rowCount++; e.rowCount == 1 {
		e.rowsJSON = append(e.rowsJSON, '[')
	} else {
		e.rowsJSON = append(e.rowsJSON, ',')
	}
	e.rowsJSON = append(e.rowsJSON, rowJSON...)
	return nil
}

// isChunkFull reports whether the rows so far are enough for a chunk.
func (e *rowEncoder) isChunkFull() bool {
	return e.rowCount >= maxChunkRows || len(e.rowsJSON) >= fullChunkBytes
}

// closeArray closes the JSON array of the rows.
func (e *rowEncoder) closeArray() {
	if e.rowCount == 0 {
		e.rowsJSON = append(e.rowsJSON[:0], '[')
	}
	e.rowsJSON = append(e.rowsJSON, ']')
	e.rowCount = 0
}

// compress compresses rowsJSON and appends it to e.compressed.
func (e *rowEncoder) compress() error {
	if e.compressor == nil {
		var err error
		if e.compressor, err = flate.NewWriter(&e.compressed, flate.BestSpeed); err != nil {
			return err
		}
	} else {
		e.compressor.Reset(&e.compressed)
	}
	if _, err := e.compressor.Write(e.rowsJSON); err != nil {
		return err
	}
	return e.compressor.Close()
}

// encodeChunk returns the body of a chunk with the rows so far. It is valid until the next call.
func (e *rowEncoder) encodeChunk() ([]byte, error) {
	e.compressed.Reset()
	e.compressed.Write(binary.LittleEndian.AppendUint32([]byte{recordChunk}, uint32(e.rowCount)))
	e.closeArray()
	err := e.compress()
	return e.compressed.Bytes(), err
}

// encodeUpdate returns the body of an update with the rows so far. It is valid until the next call.
func (e *rowEncoder) encodeUpdate(generation int64) ([]byte, error) {
	header := binary.LittleEndian.AppendUint64([]byte{recordCompressedUpdate}, uint64(generation))
	header = binary.LittleEndian.AppendUint32(header, uint32(e.rowCount))
	e.closeArray()
	if len(e.rowsJSON) < minCompressBytes {
		header[0] = recordUpdate
		return append(header, e.rowsJSON...), nil
	}
	e.compressed.Reset()
	e.compressed.Write(header)
	err := e.compress()
	return e.compressed.Bytes(), err
}

// Replace saves a whole list in place of the saved one. The rows are streamed to a second file, and the old file is
// kept until that is whole. The old file is removed first only if it would be wrong from now on: it cannot be read, or
// its origin has restarted its generations below the saved one. Otherwise the old list is only out of date.
//
// The rows must be those at the given generation, or at a later one of the same origin. An update after that generation
// must not be appended before the call: it would be lost, and the updates after it would follow a gap.
//
// On an error no new file is left and the old one stays. errNoRoom (wrapped) means that the two files together would
// have exceeded the budget.
func (s *Store) Replace(origin string, generation int64, rows iter.Seq[Instance]) error {
	if s.budgetBytes <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open()
	s.accessed = true
	err := s.replace(origin, generation, rows)
	if err != nil {
		s.upToDate = s.upToDate && s.saved.Origin == origin && s.saved.Generation == generation
		return fmt.Errorf("saved list: %w", err)
	}
	s.upToDate = true
	return nil
}

func (s *Store) replace(origin string, generation int64, rows iter.Seq[Instance]) error {
	if !s.hasList || origin == s.saved.Origin && generation < s.saved.Generation {
		if err := removeIfExists(s.path()); err != nil {
			return err
		}
		s.hasList, s.loadErr, s.saved, s.fileBytes, s.snapshotBytes = false, errNoSavedList, SavedInfo{}, 0, 0
	}
	oldFileBytes := int64(0)
	if info, err := os.Stat(s.path()); err == nil {
		oldFileBytes = info.Size()
	} else if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	saved := SavedInfo{Origin: origin, Generation: generation}
	size, newInfo, err := s.writeSnapshotFile(&saved, rows, oldFileBytes)
	if err == nil {
		err = os.Rename(s.newPath(), s.path())
	}
	if err != nil {
		return errors.Join(err, removeIfExists(s.newPath()))
	}
	s.hasList, s.loadErr, s.saved, s.fileBytes, s.fileInfo, s.snapshotBytes, s.hasTornEnd =
		true, nil, saved, size, newInfo, size, false
	return nil
}

// writeSnapshotFile writes a snapshot to the new file, while there is an old file of the given size. It counts the rows
// in saved and returns the size and the description of the new file.
func (s *Store) writeSnapshotFile(saved *SavedInfo, rows iter.Seq[Instance],
	oldFileBytes int64) (size int64, info os.FileInfo, err error) {
	f, err := os.OpenFile(s.newPath(), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return 0, nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if size, err = s.writeSnapshot(f, saved, rows, oldFileBytes); err == nil {
		info, err = f.Stat()
	}
	return size, info, err
}

func (s *Store) writeSnapshot(f *os.File, saved *SavedInfo, rows iter.Seq[Instance],
	oldFileBytes int64) (size int64, err error) {
	e := getEncoder()
	defer encoderPool.Put(e)
	writeRecord := func(body []byte) error {
		if len(body) > maxRecordBodyBytes {
			return errRecordTooLarge
		}
		e.frame = wal.Append(e.frame[:0], body)
		if newSize := size + int64(len(e.frame)); !s.fitsBudget(oldFileBytes, newSize) {
			return fmt.Errorf("%w: %d bytes beside an old file of %d, budget %d, after %d rows", errNoRoom, newSize,
				oldFileBytes, s.budgetBytes, saved.RowCount)
		}
		n, err := f.Write(e.frame)
		size += int64(n)
		return err
	}
	closeChunk := func() error {
		body, err := e.encodeChunk()
		if err != nil {
			return err
		}
		return writeRecord(body)
	}
	headerJSON, err := json.Marshal(snapshotHeader{storeFormatVersion, saved.Origin, saved.Generation})
	if err != nil {
		return size, err
	}
	if err := writeRecord(append([]byte{recordHeader}, headerJSON...)); err != nil {
		return size, err
	}
	for instance := range rows {
		if err := e.addRow(instance); err != nil {
			return size, err
		}
		saved.RowCount++
		if e.isChunkFull() {
			if err := closeChunk(); err != nil {
				return size, err
			}
		}
	}
	if e.rowCount > 0 {
		if err := closeChunk(); err != nil {
			return size, err
		}
	}
	endJSON, err := json.Marshal(snapshotEnd{saved.RowCount, saved.Generation})
	if err != nil {
		return size, err
	}
	return size, writeRecord(append([]byte{recordEnd}, endJSON...))
}

// Append saves an update after the saved list: the rows that differ, with Lifecycle "removed" for endpoints that are
// gone. It must follow the list that this process loaded at its start or saved with Replace, and its generation must be
// higher. On an error nothing is appended, and the rows are missing from the file: later updates are rejected until
// Replace, as they would follow a gap. errNoRoom (wrapped) means that the update would have exceeded the budget, or
// would have left too little room to rewrite the list.
func (s *Store) Append(generation int64, rows []Instance) error {
	if s.budgetBytes <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open()
	if !s.hasList || !s.upToDate {
		return errMissingUpdates
	}
	if generation <= s.saved.Generation {
		// A lower generation means that discovery has restarted its generations or that an update was lost. Rows that
		// are rejected here are missing from the file.
		s.upToDate = generation == s.saved.Generation && len(rows) == 0
		return fmt.Errorf("saved list: %w: from %d to %d", errGenerationNotHigher, s.saved.Generation, generation)
	}
	if err := s.appendUpdate(generation, rows); err != nil {
		s.upToDate = false
		return fmt.Errorf("saved list: %w", err)
	}
	s.saved.Generation = generation
	return nil
}

func (s *Store) appendUpdate(generation int64, rows []Instance) error {
	e := getEncoder()
	defer encoderPool.Put(e)
	for _, instance := range rows {
		if err := e.addRow(instance); err != nil {
			return err
		}
	}
	body, err := e.encodeUpdate(generation)
	if err != nil {
		return err
	}
	if len(body) > maxRecordBodyBytes {
		return fmt.Errorf("%w: %d bytes", errRecordTooLarge, len(body))
	}
	record := wal.Append(nil, body)
	if !s.hasRoomFor(int64(len(record))) {
		return fmt.Errorf("%w: %d bytes after a file of %d, budget %d", errNoRoom, len(record), s.fileBytes, s.budgetBytes)
	}
	f, err := os.OpenFile(s.path(), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil {
		return err
	} else if info.Size() != s.fileBytes || !os.SameFile(info, s.fileInfo) {
		return fmt.Errorf("another process has changed the file: %d bytes instead of %d", info.Size(), s.fileBytes)
	}
	if _, err := f.WriteAt(record, s.fileBytes); err != nil {
		return errors.Join(err, f.Truncate(s.fileBytes)) // a part may be in the file, whatever count the write gave
	}
	s.fileBytes += int64(len(record))
	s.saved.RowCount += len(rows)
	return nil
}

// hasRoomFor reports whether n bytes may be appended. If the budget allows a rewrite at all, room for it has to remain.
// A rewrite is estimated at the size of the snapshot and half of the updates, as they may have added endpoints.
func (s *Store) hasRoomFor(n int64) bool {
	rewrittenSize := func(size int64) int64 { return s.snapshotBytes + (size-s.snapshotBytes)/2 }
	if !s.fitsBudget(s.snapshotBytes, rewrittenSize(s.snapshotBytes)) {
		return s.fitsBudget(s.fileBytes+n, 0)
	}
	return s.fitsBudget(s.fileBytes+n, rewrittenSize(s.fileBytes+n))
}

// NeedsReplace reports whether Replace is due: the updates take more than half of the snapshot's size and more than
// minReplaceUpdateBytes, there is no room for minCompressBytes more of them, or the file lacks updates. It stays true
// if Replace found no room: the caller should not try again before the list is shorter.
func (s *Store) NeedsReplace() bool {
	if s.budgetBytes <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open()
	updateBytes := s.fileBytes - s.snapshotBytes
	return !s.hasList || !s.upToDate || updateBytes > max(s.snapshotBytes/2, minReplaceUpdateBytes) ||
		updateBytes > 0 && !s.hasRoomFor(minCompressBytes)
}

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

// The file is a write-ahead log in internal/wal's framing. The first byte of a record's body is its kind; numbers are
// little endian. It begins with a snapshot - a header, chunks, an end - and goes on with updates.
const (
	recordHeader           byte = iota + 1 // header as JSON
	recordChunk                            // uint32 count of rows, then the rows as a JSON array, compressed (DEFLATE)
	recordEnd                              // end as JSON
	recordUpdate                           // uint64 generation, uint32 count of rows, then the rows as a JSON array
	recordCompressedUpdate                 // the same, the rows compressed
)

// snapshotHeader begins a snapshot.
type snapshotHeader struct {
	FormatVersion int    `json:"form"`
	Origin        string `json:"origin"` // the address that the list came from
	Generation    int64  `json:"generation"`
}

// snapshotEnd closes a snapshot: without it the snapshot is not whole.
type snapshotEnd struct {
	RowCount   int   `json:"count"`
	Generation int64 `json:"generation"`
}

const (
	storeFileName         = "list"
	storeFormatVersion    = 1
	maxChunkRows          = 512
	fullChunkBytes        = 64 << 10 // of JSON, from which on a chunk is closed
	maxRecordBodyBytes    = 1 << 20  // body of a record, bytes
	maxRowsJSONBytes      = 4 << 20  // JSON of the rows of a record, bytes
	minCompressBytes      = 4 << 10  // JSON of an update, from which on it is compressed, bytes
	minReplaceUpdateBytes = 8 << 10  // updates that are no reason for a rewrite, bytes
	fileBlockBytes        = 512      // files are counted in whole blocks
	storeNewSuffix        = ".new"
)

var (
	errNoRoom              = errors.New("no room for the saved list on disk")
	errRecordTooLarge      = errors.New("too large for a record")
	errMissingUpdates      = errors.New("the saved list lacks earlier changes, a whole one is due")
	errGenerationNotHigher = errors.New("generation does not rise")

	errUnknownFormat = errors.New("saved list: unknown form")
	errNoHeader      = errors.New("saved list: no header")
	errNoEnd         = errors.New("saved list: no end record")
	errCountMismatch = errors.New("saved list: wrong count")
	errBadRecord     = errors.New("saved list: bad record")
	errTooOld        = errors.New("saved list: older than asked for")
	errNoSavedList   = fmt.Errorf("saved list: none: %w", fs.ErrNotExist)
)

// SavedInfo says what a saved list is.
type SavedInfo struct {
	Origin     string // the address that the list came from, host:port
	Generation int64  // of its last update
	RowCount   int    // rows that Load hands out: those of the snapshot and those of all updates
}

// Store keeps the list of endpoints in the file "list" of a folder, as a snapshot followed by updates, so that a
// restarted sender asks for changes only. While the snapshot is rewritten a second file stands beside it, "list.new".
// What is written outlasts the process; nothing is synced.
//
// One process at a time may use a folder. A store is safe for concurrent use; a call waits for one that is under way.
type Store struct {
	dir         string
	budgetBytes int64
	log         *slog.Logger

	mu            sync.Mutex
	opened        bool
	hasList       bool  // the file holds a whole list
	loadErr       error // why it does not
	saved         SavedInfo
	snapshotBytes int64       // bytes of the snapshot
	fileBytes     int64       // bytes of the file
	fileInfo      os.FileInfo // of the file, as it was when this process read or wrote it as a whole
	accessed      bool        // something was loaded or replaced since the start
	upToDate      bool        // what is told next follows what the file holds; otherwise an update would stand behind a gap
	hasTornEnd    bool        // it has a bad end that could not be cut off
}

// OpenStore returns the store in dir. Its files together, each counted in whole 512 bytes, stay within budget bytes at
// every moment; with a budget of 0 it keeps nothing and leaves the disk alone. The files are first touched when the
// store is first used. The log gets what is mended without anyone's doing: a torn end that is cut off, say.
func OpenStore(dir string, budget int64, log *slog.Logger) *Store {
	return &Store{dir: dir, budgetBytes: budget, log: log}
}

func (s *Store) path() string    { return filepath.Join(s.dir, storeFileName) }
func (s *Store) newPath() string { return s.path() + storeNewSuffix }

// roundUpToBlocks is what a file of that size counts.
func roundUpToBlocks(size int64) int64 {
	return (size + fileBlockBytes - 1) / fileBlockBytes * fileBlockBytes
}

// fitsBudget says whether the two files may have those sizes.
func (s *Store) fitsBudget(size, newSize int64) bool {
	return roundUpToBlocks(size)+roundUpToBlocks(newSize) <= s.budgetBytes
}

// open looks at what an earlier process has left.
func (s *Store) open() {
	if s.opened || s.budgetBytes <= 0 {
		return
	}
	s.opened = true
	if err := removeIfExists(s.newPath()); err != nil {
		s.log.Warn("saved list: unfinished copy", "err", err)
	}
	if info, err := os.Stat(s.path()); err == nil && !s.fitsBudget(info.Size(), 0) {
		err := removeIfExists(s.path())
		s.log.Warn("saved list: over its budget, removed", "bytes", info.Size(), "budget", s.budgetBytes, "err", err)
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

// scanFile checks the file as a whole without decoding its rows, and cuts off what is behind the last whole update.
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
	whole := s.snapshotBytes
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
			s.truncateAfter(f, whole, err)
			return nil
		}
		s.saved.Generation = u.generation
		s.saved.RowCount += u.rowCount
		whole = r.Offset()
	}
}

// scanSnapshot reads up to the end record and says what the snapshot is.
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
	var head snapshotHeader
	if body[0] != recordHeader || json.Unmarshal(body[1:], &head) != nil {
		return saved, errNoHeader
	}
	if head.FormatVersion != storeFormatVersion {
		return saved, fmt.Errorf("%w: %d", errUnknownFormat, head.FormatVersion)
	}
	saved.Origin, saved.Generation = head.Origin, head.Generation
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
			var e snapshotEnd
			if err := json.Unmarshal(body[1:], &e); err != nil {
				return saved, fmt.Errorf("%w: end: %w", errBadRecord, err)
			}
			if e.RowCount != saved.RowCount || e.Generation != saved.Generation {
				return saved, fmt.Errorf("%w: %d rows at generation %d, but %d at %d were to come", errCountMismatch,
					saved.RowCount, saved.Generation, e.RowCount, e.Generation)
			}
			return saved, nil
		default:
			return saved, fmt.Errorf("%w: kind %d within the snapshot", errBadRecord, body[0])
		}
	}
}

// parseChunk takes the body of a chunk apart.
func parseChunk(body []byte) (count int, packed []byte, err error) {
	if len(body) < 5 {
		return 0, nil, fmt.Errorf("%w: chunk of %d bytes", errBadRecord, len(body))
	}
	return int(binary.LittleEndian.Uint32(body[1:])), body[5:], nil
}

// updateRecord is the body of an update, taken apart.
type updateRecord struct {
	generation int64
	rowCount   int
	rowsData   []byte
	compressed bool
}

const updateHeaderBytes = 13 // kind, generation, count

func parseUpdate(body []byte) (updateRecord, error) {
	if body[0] != recordUpdate && body[0] != recordCompressedUpdate || len(body) < updateHeaderBytes {
		return updateRecord{}, fmt.Errorf("%w: kind %d, %d bytes among the updates", errBadRecord, body[0], len(body))
	}
	return updateRecord{int64(binary.LittleEndian.Uint64(body[1:])), int(binary.LittleEndian.Uint32(body[9:])), body[updateHeaderBytes:],
		body[0] == recordCompressedUpdate}, nil
}

// truncateAfter drops what is behind the last whole update.
func (s *Store) truncateAfter(f *os.File, whole int64, why error) {
	err := f.Truncate(whole)
	s.log.Warn("saved list: cut behind the last whole update", "why", why, "bytes", s.fileBytes-whole,
		"generation", s.saved.Generation, "err", err)
	s.fileBytes = whole
	s.hasTornEnd = err != nil // nothing may be appended to it
}

// Peek says what Load would hand out, with the same errors, without reading the rows.
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

// Load hands out the saved list: the rows of the snapshot, some hundreds at a time, and then those of each later update
// in order, gone ones as Lifecycle "removed". The rows stand after each returns.
//
// The file is checked before the first row is handed out. One that is not whole is refused: the error says why, and is
// fs.ErrNotExist (wrapped) where nothing is saved. A bad end among the updates is no error: it is cut off, and what
// stands before it is the list at the generation that Load returns. On an error, each's included, the caller drops what
// it was given, and nothing can be appended until Replace. A process loads at its start: later calls only show the list.
func (s *Store) Load(each func([]Instance) error) (SavedInfo, error) {
	return s.LoadAtLeast(math.MinInt64, each)
}

// LoadAtLeast is Load, but a list that is older than a generation is refused. Its file stays.
func (s *Store) LoadAtLeast(generation int64, each func([]Instance) error) (SavedInfo, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved, err := s.peek()
	if err != nil {
		return SavedInfo{}, err
	}
	first := !s.accessed
	s.accessed = true
	if saved.Generation >= generation {
		saved, err = s.readRows(each)
	}
	if err == nil && saved.Generation < generation { // perhaps only since a bad end was cut off
		err = fmt.Errorf("%w: generation %d, not %d", errTooOld, saved.Generation, generation)
	}
	if err != nil {
		s.upToDate = false
		return SavedInfo{}, err
	}
	s.upToDate = (s.upToDate || first) && !s.hasTornEnd // one that lags behind what was told since still does
	return saved, nil
}

// readRows decodes the rows and hands them on.
func (s *Store) readRows(each func([]Instance) error) (SavedInfo, error) {
	f, err := os.OpenFile(s.path(), os.O_RDWR, 0)
	if err != nil {
		return SavedInfo{}, fmt.Errorf("saved list: %w", err)
	}
	defer f.Close()
	r := wal.NewReader(io.LimitReader(f, s.fileBytes), maxRecordBodyBytes)
	var d rowDecoder
	sofar := SavedInfo{Origin: s.saved.Origin}
	for whole := int64(0); whole < s.fileBytes; whole = r.Offset() {
		body, err := r.Next()
		if err != nil {
			return SavedInfo{}, fmt.Errorf("saved list, after it was checked: %w", err)
		}
		var rows []Instance
		switch body[0] {
		case recordHeader:
		case recordChunk:
			n, packed, err := parseChunk(body)
			if err == nil {
				rows, err = d.decode(packed, true, n)
			}
			if err != nil {
				s.hasList, s.loadErr = false, err
				return SavedInfo{}, err
			}
		case recordEnd:
			var e snapshotEnd
			if err := json.Unmarshal(body[1:], &e); err != nil {
				return SavedInfo{}, fmt.Errorf("%w: end: %w", errBadRecord, err)
			}
			sofar.Generation = e.Generation
		default:
			u, err := parseUpdate(body)
			if err == nil {
				rows, err = d.decode(u.rowsData, u.compressed, u.rowCount)
			}
			if err != nil {
				s.saved = sofar
				s.truncateAfter(f, whole, err)
				return sofar, nil
			}
			sofar.Generation = u.generation
		}
		if len(rows) == 0 {
			continue
		}
		if err := each(rows); err != nil {
			return SavedInfo{}, err
		}
		sofar.RowCount += len(rows)
	}
	return sofar, nil
}

// rowDecoder takes compressed rows apart.
type rowDecoder struct {
	decompressor io.ReadCloser
	rowsJSON     bytes.Buffer
}

// decode decodes the rows of a record, of which there must be n.
func (d *rowDecoder) decode(text []byte, packed bool, n int) ([]Instance, error) {
	if packed {
		var err error
		if text, err = d.decompress(text); err != nil {
			return nil, fmt.Errorf("%w: %w", errBadRecord, err)
		}
	}
	var rows []Instance
	if err := json.Unmarshal(text, &rows); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadRecord, err)
	}
	if len(rows) != n {
		return nil, fmt.Errorf("%w: %d rows in a record of %d", errCountMismatch, len(rows), n)
	}
	return rows, nil
}

func (d *rowDecoder) decompress(packed []byte) ([]byte, error) {
	in := bytes.NewReader(packed)
	if d.decompressor == nil {
		d.decompressor = flate.NewReader(in)
	} else if err := d.decompressor.(flate.Resetter).Reset(in, nil); err != nil {
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

// rowEncoder gathers rows for a record.
type rowEncoder struct {
	rowCount   int
	rowsJSON   []byte // a JSON array without its end
	compressed bytes.Buffer
	compressor *flate.Writer
	frame      []byte
}

// encoderPool keeps the compressor, which is large, between records that follow each other soon.
var encoderPool = sync.Pool{New: func() any { return new(rowEncoder) }}

// getEncoder takes an encoder without rows out of the pool.
func getEncoder() *rowEncoder {
	e := encoderPool.Get().(*rowEncoder)
	e.rowCount = 0
	return e
}

// addRow adds a row, which must leave the text within mostRows.
func (e *rowEncoder) addRow(in Instance) error {
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	if e.rowCount == 0 {
		e.rowsJSON = e.rowsJSON[:0]
	}
	if len(e.rowsJSON)+len(text)+2 > maxRowsJSONBytes {
		return errRecordTooLarge
	}
	if e.rowCount++; e.rowCount == 1 {
		e.rowsJSON = append(e.rowsJSON, '[')
	} else {
		e.rowsJSON = append(e.rowsJSON, ',')
	}
	e.rowsJSON = append(e.rowsJSON, text...)
	return nil
}

// isChunkFull says whether a chunk is to be closed.
func (e *rowEncoder) isChunkFull() bool {
	return e.rowCount >= maxChunkRows || len(e.rowsJSON) >= fullChunkBytes
}

// closeArray ends the rows.
func (e *rowEncoder) closeArray() {
	if e.rowCount == 0 {
		e.rowsJSON = append(e.rowsJSON[:0], '[')
	}
	e.rowsJSON = append(e.rowsJSON, ']')
	e.rowCount = 0
}

// compress appends the compressed text to what is in packed.
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

// encodeChunk is the body of the chunk of the rows so far; it stands until the next one.
func (e *rowEncoder) encodeChunk() ([]byte, error) {
	e.compressed.Reset()
	e.compressed.Write(binary.LittleEndian.AppendUint32([]byte{recordChunk}, uint32(e.rowCount)))
	e.closeArray()
	err := e.compress()
	return e.compressed.Bytes(), err
}

// encodeUpdate is the body of the update of the rows so far.
func (e *rowEncoder) encodeUpdate(generation int64) ([]byte, error) {
	head := binary.LittleEndian.AppendUint64([]byte{recordCompressedUpdate}, uint64(generation))
	head = binary.LittleEndian.AppendUint32(head, uint32(e.rowCount))
	e.closeArray()
	if len(e.rowsJSON) < minCompressBytes {
		head[0] = recordUpdate
		return append(head, e.rowsJSON...), nil
	}
	e.compressed.Reset()
	e.compressed.Write(head)
	err := e.compress()
	return e.compressed.Bytes(), err
}

// Replace saves a whole list in place of the one there is. The rows are written in a stream to a second file; the old
// one stands until that is whole. It is removed before only where it would be wrong from now on: it can't be read, or
// the generations of its origin count anew, below its own. An old copy is otherwise only older.
//
// The rows must be those at that generation, or later ones of the same origin. No update that came after it may be
// appended before: it would be lost, and later ones would stand behind a gap.
//
// On an error no new copy is left and the old one stays; errNoRoom (wrapped) says that the two would have gone over the
// budget.
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
	beside := int64(0)
	if info, err := os.Stat(s.path()); err == nil {
		beside = info.Size()
	} else if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	saved := SavedInfo{Origin: origin, Generation: generation}
	size, file, err := s.writeSnapshotFile(&saved, rows, beside)
	if err == nil {
		err = os.Rename(s.newPath(), s.path())
	}
	if err != nil {
		return errors.Join(err, removeIfExists(s.newPath()))
	}
	s.hasList, s.loadErr, s.saved, s.fileBytes, s.fileInfo, s.snapshotBytes, s.hasTornEnd = true, nil, saved, size, file, size, false
	return nil
}

// writeSnapshotFile writes a snapshot to the new file, beside an old one of that size, counts its rows, and says how long it is.
func (s *Store) writeSnapshotFile(saved *SavedInfo, rows iter.Seq[Instance], beside int64) (size int64, file os.FileInfo, err error) {
	f, err := os.OpenFile(s.newPath(), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return 0, nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if size, err = s.writeSnapshot(f, saved, rows, beside); err == nil {
		file, err = f.Stat()
	}
	return size, file, err
}

func (s *Store) writeSnapshot(f *os.File, saved *SavedInfo, rows iter.Seq[Instance], beside int64) (size int64, err error) {
	e := getEncoder()
	defer encoderPool.Put(e)
	put := func(body []byte) error {
		if len(body) > maxRecordBodyBytes {
			return errRecordTooLarge
		}
		e.frame = wal.Append(e.frame[:0], body)
		if next := size + int64(len(e.frame)); !s.fitsBudget(beside, next) {
			return fmt.Errorf("%w: %d bytes beside %d, budget %d, %d rows in", errNoRoom, next, beside, s.budgetBytes, saved.RowCount)
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
		return put(body)
	}
	head, err := json.Marshal(snapshotHeader{storeFormatVersion, saved.Origin, saved.Generation})
	if err != nil {
		return size, err
	}
	if err := put(append([]byte{recordHeader}, head...)); err != nil {
		return size, err
	}
	for in := range rows {
		if err := e.addRow(in); err != nil {
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
	last, err := json.Marshal(snapshotEnd{saved.RowCount, saved.Generation})
	if err != nil {
		return size, err
	}
	return size, put(append([]byte{recordEnd}, last...))
}

// Append saves one update behind what there is: the rows that differ, gone ones as Lifecycle "removed". It must follow
// what this process has loaded at its start or replaced, and its generation must rise. On an error nothing is appended, and rows that were not appended are lacking: all later updates are refused
// until Replace, as they would stand behind a gap. errNoRoom (wrapped) says that the update would have gone over the
// budget, or taken the room in which the list can be rewritten.
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
		s.upToDate = generation == s.saved.Generation && len(rows) == 0 // a lower one is counted anew, or lost
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
	for _, in := range rows {
		if err := e.addRow(in); err != nil {
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
	b := wal.Append(nil, body)
	if !s.hasRoomFor(int64(len(b))) {
		return fmt.Errorf("%w: %d bytes behind %d, budget %d", errNoRoom, len(b), s.fileBytes, s.budgetBytes)
	}
	f, err := os.OpenFile(s.path(), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil {
		return err
	} else if info.Size() != s.fileBytes || !os.SameFile(info, s.fileInfo) {
		return fmt.Errorf("another process has written %d bytes where %d were", info.Size(), s.fileBytes)
	}
	if n, err := f.WriteAt(b, s.fileBytes); err != nil {
		if n > 0 {
			err = errors.Join(err, f.Truncate(s.fileBytes))
		}
		return err
	}
	s.fileBytes += int64(len(b))
	s.saved.RowCount += len(rows)
	return nil
}

// hasRoomFor says whether so many bytes may be appended. A rewrite must remain possible where it is possible at all; it
// takes some more than the snapshot, as entries may have been added.
func (s *Store) hasRoomFor(n int64) bool {
	rewritten := func(size int64) int64 { return s.snapshotBytes + (size-s.snapshotBytes)/2 }
	if !s.fitsBudget(s.snapshotBytes, rewritten(s.snapshotBytes)) {
		return s.fitsBudget(s.fileBytes+n, 0)
	}
	return s.fitsBudget(s.fileBytes+n, rewritten(s.fileBytes+n))
}

// NeedsReplace says that Replace is due: the updates have grown to more than half of the snapshot and some KB, there is hardly
// room for more of them, or the file lacks changes. It says so also where Replace has found no room: whoever has heard
// of that does not try again before the list is shorter.
func (s *Store) NeedsReplace() bool {
	if s.budgetBytes <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open()
	updates := s.fileBytes - s.snapshotBytes
	return !s.hasList || !s.upToDate || updates > max(s.snapshotBytes/2, minReplaceUpdateBytes) || updates > 0 && !s.hasRoomFor(minCompressBytes)
}

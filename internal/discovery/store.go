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
	kindHeader byte = iota + 1 // header as JSON
	kindChunk                  // uint32 count of rows, then the rows as a JSON array, compressed (DEFLATE)
	kindEnd                    // end as JSON
	kindUpdate                 // uint64 generation, uint32 count of rows, then the rows as a JSON array
	kindPacked                 // the same, the rows compressed
)

// header begins a snapshot.
type header struct {
	Form       int    `json:"form"`
	Origin     string `json:"origin"` // the address that the list came from
	Generation int64  `json:"generation"`
}

// end closes a snapshot: without it the snapshot is not whole.
type end struct {
	Count      int   `json:"count"`
	Generation int64 `json:"generation"`
}

const (
	storeName   = "list"
	storeForm   = 1
	chunkRows   = 512
	chunkBytes  = 64 << 10 // of JSON, from which on a chunk is closed
	mostBody    = 1 << 20  // body of a record, bytes
	mostRows    = 4 << 20  // JSON of the rows of a record, bytes
	packFrom    = 4 << 10  // JSON of an update, from which on it is compressed, bytes
	staleLeast  = 8 << 10  // updates that are no reason for a rewrite, bytes
	fileBlock   = 512      // files are counted in whole blocks
	storeNewExt = ".new"
)

var (
	errNoRoom   = errors.New("no room for the saved list on disk")
	errTooLarge = errors.New("too large for a record")
	errLacks    = errors.New("the saved list lacks earlier changes, a whole one is due")
	errNotNewer = errors.New("generation does not rise")

	errForm     = errors.New("saved list: unknown form")
	errNoHeader = errors.New("saved list: no header")
	errNoEnd    = errors.New("saved list: no end record")
	errCount    = errors.New("saved list: wrong count")
	errBad      = errors.New("saved list: bad record")
	errOld      = errors.New("saved list: older than asked for")
	errNoCopy   = fmt.Errorf("saved list: none: %w", fs.ErrNotExist)
)

// Saved says what a saved list is.
type Saved struct {
	Origin     string // the address that the list came from, host:port
	Generation int64  // of its last update
	Count      int    // rows that Load hands out: those of the snapshot and those of all updates
}

// Store keeps the list of endpoints in the file "list" of a folder, as a snapshot followed by updates, so that a
// restarted sender asks for changes only. While the snapshot is rewritten a second file stands beside it, "list.new".
// What is written outlasts the process; nothing is synced.
//
// One process at a time may use a folder. A store is safe for concurrent use; a call waits for one that is under way.
type Store struct {
	dir    string
	budget int64
	log    *slog.Logger

	mu       sync.Mutex
	opened   bool
	have     bool  // the file holds a whole list
	refused  error // why it does not
	saved    Saved
	snapshot int64 // bytes of the snapshot
	size     int64 // bytes of the file
	begun    bool  // something was loaded or replaced since the start
	follows  bool  // what is told next follows what the file holds; otherwise an update would stand behind a gap
	torn     bool  // it has a bad end that could not be cut off
	futile   bool  // the last rewrite found no room
}

// OpenStore returns the store in dir. Its files together, each counted in whole 512 bytes, stay within budget bytes at
// every moment; with a budget of 0 it keeps nothing and leaves the disk alone. The files are first touched when the
// store is first used. The log gets what is mended without anyone's doing: a torn end that is cut off, say.
func OpenStore(dir string, budget int64, log *slog.Logger) *Store {
	return &Store{dir: dir, budget: budget, log: log}
}

func (s *Store) path() string    { return filepath.Join(s.dir, storeName) }
func (s *Store) newPath() string { return s.path() + storeNewExt }

// blocks is what a file of that size counts.
func blocks(size int64) int64 { return (size + fileBlock - 1) / fileBlock * fileBlock }

// fits says whether the two files may have those sizes.
func (s *Store) fits(size, newSize int64) bool { return blocks(size)+blocks(newSize) <= s.budget }

// open looks at what an earlier process has left.
func (s *Store) open() {
	if s.opened || s.budget <= 0 {
		return
	}
	s.opened = true
	if err := remove(s.newPath()); err != nil {
		s.log.Warn("saved list: unfinished copy", "err", err)
	}
	if info, err := os.Stat(s.path()); err == nil && !s.fits(info.Size(), 0) {
		err := remove(s.path())
		s.log.Warn("saved list: over its budget, removed", "bytes", info.Size(), "budget", s.budget, "err", err)
	}
	s.refused = s.scan()
	s.have = s.refused == nil
}

func remove(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// scan checks the file as a whole without decoding its rows, and cuts off what is behind the last whole update.
func (s *Store) scan() error {
	f, err := os.OpenFile(s.path(), os.O_RDWR, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return errNoCopy
	} else if err != nil {
		return fmt.Errorf("saved list: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return fmt.Errorf("saved list: %w", err)
	}
	s.size = info.Size()
	r := wal.NewReader(f, mostBody)
	if s.saved, err = scanSnapshot(r); err != nil {
		return err
	}
	s.snapshot = r.Whole()
	whole := s.snapshot
	for {
		body, err := r.Next()
		if err == io.EOF {
			return nil
		} else if err != nil && !errors.Is(err, wal.ErrTorn) {
			return fmt.Errorf("saved list: %w", err)
		}
		var u update
		if err == nil {
			u, err = updateOf(body)
		}
		if err == nil && u.generation <= s.saved.Generation {
			err = fmt.Errorf("%w: from %d to %d", errNotNewer, s.saved.Generation, u.generation)
		}
		if err != nil {
			s.cut(f, whole, err)
			return nil
		}
		s.saved.Generation = u.generation
		s.saved.Count += u.count
		whole = r.Whole()
	}
}

// scanSnapshot reads up to the end record and says what the snapshot is.
func scanSnapshot(r *wal.Reader) (Saved, error) {
	var saved Saved
	next := func() ([]byte, error) {
		body, err := r.Next()
		switch {
		case err == io.EOF:
			return nil, errNoEnd
		case errors.Is(err, wal.ErrTorn):
			return nil, fmt.Errorf("%w: %w", errBad, err)
		case err != nil:
			return nil, fmt.Errorf("saved list: %w", err)
		}
		return body, nil
	}
	body, err := next()
	if err != nil {
		return saved, err
	}
	var head header
	if body[0] != kindHeader || json.Unmarshal(body[1:], &head) != nil {
		return saved, errNoHeader
	}
	if head.Form != storeForm {
		return saved, fmt.Errorf("%w: %d", errForm, head.Form)
	}
	saved.Origin, saved.Generation = head.Origin, head.Generation
	for {
		if body, err = next(); err != nil {
			return saved, err
		}
		switch body[0] {
		case kindChunk:
			n, _, err := chunkOf(body)
			if err != nil {
				return saved, err
			}
			saved.Count += n
		case kindEnd:
			var e end
			if err := json.Unmarshal(body[1:], &e); err != nil {
				return saved, fmt.Errorf("%w: end: %w", errBad, err)
			}
			if e.Count != saved.Count || e.Generation != saved.Generation {
				return saved, fmt.Errorf("%w: %d rows at generation %d, but %d at %d were to come", errCount,
					saved.Count, saved.Generation, e.Count, e.Generation)
			}
			return saved, nil
		default:
			return saved, fmt.Errorf("%w: kind %d within the snapshot", errBad, body[0])
		}
	}
}

// chunkOf takes the body of a chunk apart.
func chunkOf(body []byte) (count int, packed []byte, err error) {
	if len(body) < 5 {
		return 0, nil, fmt.Errorf("%w: chunk of %d bytes", errBad, len(body))
	}
	return int(binary.LittleEndian.Uint32(body[1:])), body[5:], nil
}

// update is the body of an update, taken apart.
type update struct {
	generation int64
	count      int
	rows       []byte
	packed     bool
}

const updateHead = 13 // kind, generation, count

func updateOf(body []byte) (update, error) {
	if body[0] != kindUpdate && body[0] != kindPacked || len(body) < updateHead {
		return update{}, fmt.Errorf("%w: kind %d, %d bytes among the updates", errBad, body[0], len(body))
	}
	return update{int64(binary.LittleEndian.Uint64(body[1:])), int(binary.LittleEndian.Uint32(body[9:])), body[updateHead:],
		body[0] == kindPacked}, nil
}

// cut drops what is behind the last whole update.
func (s *Store) cut(f *os.File, whole int64, why error) {
	err := f.Truncate(whole)
	s.log.Warn("saved list: cut behind the last whole update", "why", why, "bytes", s.size-whole,
		"generation", s.saved.Generation, "err", err)
	s.size = whole
	s.torn = err != nil // nothing may be appended to it
}

// Peek says what Load would hand out, with the same errors, without reading the rows.
func (s *Store) Peek() (Saved, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peek()
}

func (s *Store) peek() (Saved, error) {
	s.open()
	switch {
	case s.have:
		return s.saved, nil
	case s.refused != nil:
		return Saved{}, s.refused
	}
	return Saved{}, errNoCopy
}

// Load hands out the saved list: the rows of the snapshot, some hundreds at a time, and then those of each later update
// in order, gone ones as Lifecycle "removed". The rows stand after each returns.
//
// The file is checked before the first row is handed out. One that is not whole is refused: the error says why, and is
// fs.ErrNotExist (wrapped) where nothing is saved. A bad end among the updates is no error: it is cut off, and what
// stands before it is the list at the generation that Load returns. On an error, each's included, the caller drops what
// it was given, and nothing can be appended until Replace. A process loads at its start: later calls only show the list.
func (s *Store) Load(each func([]Instance) error) (Saved, error) {
	return s.LoadSince(math.MinInt64, each)
}

// LoadSince is Load, but a list that is older than a generation is refused. Its file stays.
func (s *Store) LoadSince(generation int64, each func([]Instance) error) (Saved, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved, err := s.peek()
	if err != nil {
		return Saved{}, err
	}
	first := !s.begun
	s.begun = true
	if saved.Generation >= generation {
		saved, err = s.read(each)
	}
	if err == nil && saved.Generation < generation { // perhaps only since a bad end was cut off
		err = fmt.Errorf("%w: generation %d, not %d", errOld, saved.Generation, generation)
	}
	if err != nil {
		s.follows = false
		return Saved{}, err
	}
	s.follows = (s.follows || first) && !s.torn // one that lags behind what was told since still does
	return saved, nil
}

// read decodes the rows and hands them on.
func (s *Store) read(each func([]Instance) error) (Saved, error) {
	f, err := os.OpenFile(s.path(), os.O_RDWR, 0)
	if err != nil {
		return Saved{}, fmt.Errorf("saved list: %w", err)
	}
	defer f.Close()
	r := wal.NewReader(io.LimitReader(f, s.size), mostBody)
	var d decoder
	sofar := Saved{Origin: s.saved.Origin}
	for whole := int64(0); whole < s.size; whole = r.Whole() {
		body, err := r.Next()
		if err != nil {
			return Saved{}, fmt.Errorf("saved list, after it was checked: %w", err)
		}
		var rows []Instance
		switch body[0] {
		case kindHeader:
		case kindChunk:
			n, packed, err := chunkOf(body)
			if err == nil {
				rows, err = d.rows(packed, true, n)
			}
			if err != nil {
				s.have, s.refused = false, err
				return Saved{}, err
			}
		case kindEnd:
			var e end
			if err := json.Unmarshal(body[1:], &e); err != nil {
				return Saved{}, fmt.Errorf("%w: end: %w", errBad, err)
			}
			sofar.Generation = e.Generation
		default:
			u, err := updateOf(body)
			if err == nil {
				rows, err = d.rows(u.rows, u.packed, u.count)
			}
			if err != nil {
				s.saved = sofar
				s.cut(f, whole, err)
				return sofar, nil
			}
			sofar.Generation = u.generation
		}
		if len(rows) == 0 {
			continue
		}
		if err := each(rows); err != nil {
			return Saved{}, err
		}
		sofar.Count += len(rows)
	}
	return sofar, nil
}

// decoder takes compressed rows apart.
type decoder struct {
	inflate io.ReadCloser
	text    bytes.Buffer
}

// rows decodes the rows of a record, of which there must be n.
func (d *decoder) rows(text []byte, packed bool, n int) ([]Instance, error) {
	if packed {
		var err error
		if text, err = d.unpack(text); err != nil {
			return nil, fmt.Errorf("%w: %w", errBad, err)
		}
	}
	var rows []Instance
	if err := json.Unmarshal(text, &rows); err != nil {
		return nil, fmt.Errorf("%w: %w", errBad, err)
	}
	if len(rows) != n {
		return nil, fmt.Errorf("%w: %d rows in a record of %d", errCount, len(rows), n)
	}
	return rows, nil
}

func (d *decoder) unpack(packed []byte) ([]byte, error) {
	in := bytes.NewReader(packed)
	if d.inflate == nil {
		d.inflate = flate.NewReader(in)
	} else if err := d.inflate.(flate.Resetter).Reset(in, nil); err != nil {
		return nil, err
	}
	d.text.Reset()
	if _, err := d.text.ReadFrom(io.LimitReader(d.inflate, mostRows+1)); err != nil {
		return nil, err
	}
	if d.text.Len() > mostRows {
		return nil, errTooLarge
	}
	return d.text.Bytes(), nil
}

// encoder gathers rows for a record.
type encoder struct {
	rows    int
	text    []byte // a JSON array without its end
	packed  bytes.Buffer
	deflate *flate.Writer
	frame   []byte
}

// encoders keeps the compressor, which is large, between records that follow each other soon.
var encoders = sync.Pool{New: func() any { return new(encoder) }}

// newEncoder takes an encoder without rows out of the pool.
func newEncoder() *encoder {
	e := encoders.Get().(*encoder)
	e.rows = 0
	return e
}

// add adds a row, which must leave the text within mostRows.
func (e *encoder) add(in Instance) error {
	text, err := json.Marshal(in)
	if err != nil {
		return err
	}
	if e.rows == 0 {
		e.text = e.text[:0]
	}
	if len(e.text)+len(text)+2 > mostRows {
		return errTooLarge
	}
	if e.rows++; e.rows == 1 {
		e.text = append(e.text, '[')
	} else {
		e.text = append(e.text, ',')
	}
	e.text = append(e.text, text...)
	return nil
}

// full says whether a chunk is to be closed.
func (e *encoder) full() bool { return e.rows >= chunkRows || len(e.text) >= chunkBytes }

// close ends the rows.
func (e *encoder) close() {
	if e.rows == 0 {
		e.text = append(e.text[:0], '[')
	}
	e.text = append(e.text, ']')
	e.rows = 0
}

// pack appends the compressed text to what is in packed.
func (e *encoder) pack() error {
	if e.deflate == nil {
		var err error
		if e.deflate, err = flate.NewWriter(&e.packed, flate.BestSpeed); err != nil {
			return err
		}
	} else {
		e.deflate.Reset(&e.packed)
	}
	if _, err := e.deflate.Write(e.text); err != nil {
		return err
	}
	return e.deflate.Close()
}

// chunk is the body of the chunk of the rows so far; it stands until the next one.
func (e *encoder) chunk() ([]byte, error) {
	e.packed.Reset()
	e.packed.Write(binary.LittleEndian.AppendUint32([]byte{kindChunk}, uint32(e.rows)))
	e.close()
	err := e.pack()
	return e.packed.Bytes(), err
}

// update is the body of the update of the rows so far.
func (e *encoder) update(generation int64) ([]byte, error) {
	head := binary.LittleEndian.AppendUint64([]byte{kindPacked}, uint64(generation))
	head = binary.LittleEndian.AppendUint32(head, uint32(e.rows))
	e.close()
	if len(e.text) < packFrom {
		head[0] = kindUpdate
		return append(head, e.text...), nil
	}
	e.packed.Reset()
	e.packed.Write(head)
	err := e.pack()
	return e.packed.Bytes(), err
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
	if s.budget <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open()
	s.begun = true
	err := s.replace(origin, generation, rows)
	s.futile = errors.Is(err, errNoRoom)
	if err != nil {
		s.follows = s.follows && s.saved.Origin == origin && s.saved.Generation == generation
		return fmt.Errorf("saved list: %w", err)
	}
	s.follows = true
	return nil
}

func (s *Store) replace(origin string, generation int64, rows iter.Seq[Instance]) error {
	if !s.have || origin == s.saved.Origin && generation < s.saved.Generation {
		if err := remove(s.path()); err != nil {
			return err
		}
		s.have, s.refused, s.saved, s.size, s.snapshot = false, errNoCopy, Saved{}, 0, 0
	}
	beside := int64(0)
	if info, err := os.Stat(s.path()); err == nil {
		beside = info.Size()
	} else if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	saved := Saved{Origin: origin, Generation: generation}
	size, err := s.write(&saved, rows, beside)
	if err == nil {
		err = os.Rename(s.newPath(), s.path())
	}
	if err != nil {
		return errors.Join(err, remove(s.newPath()))
	}
	s.have, s.refused, s.saved, s.size, s.snapshot, s.torn = true, nil, saved, size, size, false
	return nil
}

// write writes a snapshot to the new file, beside an old one of that size, counts its rows, and says how long it is.
func (s *Store) write(saved *Saved, rows iter.Seq[Instance], beside int64) (size int64, err error) {
	f, err := os.OpenFile(s.newPath(), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	e := newEncoder()
	defer encoders.Put(e)
	put := func(body []byte) error {
		if len(body) > mostBody {
			return errTooLarge
		}
		e.frame = wal.Append(e.frame[:0], body)
		if next := size + int64(len(e.frame)); !s.fits(beside, next) {
			return fmt.Errorf("%w: %d bytes beside %d, budget %d, %d rows in", errNoRoom, next, beside, s.budget, saved.Count)
		}
		n, err := f.Write(e.frame)
		size += int64(n)
		return err
	}
	closeChunk := func() error {
		body, err := e.chunk()
		if err != nil {
			return err
		}
		return put(body)
	}
	head, err := json.Marshal(header{storeForm, saved.Origin, saved.Generation})
	if err != nil {
		return size, err
	}
	if err := put(append([]byte{kindHeader}, head...)); err != nil {
		return size, err
	}
	for in := range rows {
		if err := e.add(in); err != nil {
			return size, err
		}
		saved.Count++
		if e.full() {
			if err := closeChunk(); err != nil {
				return size, err
			}
		}
	}
	if e.rows > 0 {
		if err := closeChunk(); err != nil {
			return size, err
		}
	}
	last, err := json.Marshal(end{saved.Count, saved.Generation})
	if err != nil {
		return size, err
	}
	return size, put(append([]byte{kindEnd}, last...))
}

// Append saves one update behind what there is: the rows that differ, gone ones as Lifecycle "removed". It must follow
// what this process has loaded at its start or replaced, and its generation must rise. On an error nothing is appended, and rows that were not appended are lacking: all later updates are refused
// until Replace, as they would stand behind a gap. errNoRoom (wrapped) says that the update would have gone over the
// budget, or taken the room in which the list can be rewritten.
func (s *Store) Append(generation int64, rows []Instance) error {
	if s.budget <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open()
	if !s.have || !s.follows {
		return errLacks
	}
	if generation <= s.saved.Generation {
		s.follows = len(rows) == 0
		return fmt.Errorf("saved list: %w: from %d to %d", errNotNewer, s.saved.Generation, generation)
	}
	if err := s.append(generation, rows); err != nil {
		s.follows = false
		return fmt.Errorf("saved list: %w", err)
	}
	s.saved.Generation = generation
	return nil
}

func (s *Store) append(generation int64, rows []Instance) error {
	e := newEncoder()
	defer encoders.Put(e)
	for _, in := range rows {
		if err := e.add(in); err != nil {
			return err
		}
	}
	body, err := e.update(generation)
	if err != nil {
		return err
	}
	if len(body) > mostBody {
		return fmt.Errorf("%w: %d bytes", errTooLarge, len(body))
	}
	b := wal.Append(nil, body)
	if !s.roomFor(int64(len(b))) {
		return fmt.Errorf("%w: %d bytes behind %d, budget %d", errNoRoom, len(b), s.size, s.budget)
	}
	f, err := os.OpenFile(s.path(), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil {
		return err
	} else if info.Size() != s.size {
		return fmt.Errorf("%d bytes on disk, not %d", info.Size(), s.size)
	}
	if n, err := f.WriteAt(b, s.size); err != nil {
		if n > 0 {
			err = errors.Join(err, f.Truncate(s.size))
		}
		return err
	}
	s.size += int64(len(b))
	s.saved.Count += len(rows)
	return nil
}

// roomFor says whether so many bytes may be appended. A rewrite must remain possible where it is possible at all; it
// takes some more than the snapshot, as entries may have been added.
func (s *Store) roomFor(n int64) bool {
	rewritten := func(size int64) int64 { return s.snapshot + (size-s.snapshot)/2 }
	if !s.fits(s.snapshot, rewritten(s.snapshot)) {
		return s.fits(s.size+n, 0)
	}
	return s.fits(s.size+n, rewritten(s.size+n))
}

// Stale says that Replace is due: the updates have grown to more than half of the snapshot and some KB, there is hardly
// room for more of them, or the file lacks changes. It does not say so once a rewrite has found no room, until one has.
func (s *Store) Stale() bool {
	if s.budget <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open()
	if s.futile {
		return false
	}
	updates := s.size - s.snapshot
	return !s.have || !s.follows || updates > max(s.snapshot/2, staleLeast) || updates > 0 && !s.roomFor(packFrom)
}

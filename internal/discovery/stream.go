package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"crossdeal/logic"
)

const maxValueBytes = 1 << 20 // bytes of one value in an answer

// answer is what has been read of an answer of discovery.
type answer struct {
	Update
	rowCount     int  // rows that it had
	hasInstances bool // it had a list of instances
}

// reusableText keeps the bytes of a string for the time of one row.
type reusableText []byte

func (t *reusableText) UnmarshalText(b []byte) error {
	*t = append((*t)[:0], b...)
	return nil
}

// instanceBuffer is an Instance that is being read: it is used again for the next one.
type instanceBuffer struct {
	ID          reusableText `json:"instanceId"`
	HostPort    reusableText `json:"hostPort"`
	Zone        reusableText `json:"zone"`
	Kind        reusableText `json:"machineType"`
	Destination int64        `json:"cell"`
	Lifecycle   reusableText `json:"lifecycle"`
	Weight      float64      `json:"weight"`
}

func (r *instanceBuffer) reset() {
	r.ID, r.HostPort, r.Zone, r.Kind, r.Lifecycle = r.ID[:0], r.HostPort[:0], r.Zone[:0], r.Kind[:0], r.Lifecycle[:0]
	r.Destination, r.Weight = 0, 0
}

// Diff turns a list into an update.
func (d *Directory) Diff(l List) Update {
	c := d.newComparison()
	var r instanceBuffer
	for i := range l.Instances {
		in := &l.Instances[i]
		r = instanceBuffer{append(r.ID[:0], in.ID...), append(r.HostPort[:0], in.HostPort...), append(r.Zone[:0], in.Zone...),
			append(r.Kind[:0], in.Kind...), in.Destination, append(r.Lifecycle[:0], in.Lifecycle...), in.Weight}
		c.addRow(&r, true)
	}
	return c.toUpdate(l.Generation, l.Reset)
}

// readAnswer reads an answer of so many rows at most, row by row, its fields in any order, and compares it with the directory. It holds no more of it
// than the rows that differ.
func (d *Directory) readAnswer(in io.Reader, most int) (*answer, error) {
	bound := &valueLimitReader{input: in}
	dec := json.NewDecoder(bound)
	bound.decoder = dec
	a, c := &answer{}, d.newComparison()
	c.maxRows = most
	if err := expectDelim(dec, json.Delim('{')); err != nil {
		return nil, err
	}
	var generation int64
	var whole bool
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, err
		}
		switch field, _ := name.(string); {
		case strings.EqualFold(field, "generation"):
			err = dec.Decode(&generation)
		case strings.EqualFold(field, "reset"):
			err = dec.Decode(&whole)
		case strings.EqualFold(field, "instances"):
			a.hasInstances, err = c.readRows(dec)
		default:
			err = skipValue(dec)
		}
		if err != nil {
			return nil, err
		}
	}
	if err := expectDelim(dec, json.Delim('}')); err != nil {
		return nil, err
	}
	if whole && a.hasInstances && c.rowCount > 0 && c.rowCount == c.unusableRows {
		return nil, fmt.Errorf("none of its %d rows makes sense", c.rowCount)
	}
	a.rowCount = c.rowCount
	if !whole || a.hasInstances { // else there is nothing to compare with
		a.Update = c.toUpdate(generation, whole)
	} else {
		a.Generation, a.Whole = generation, whole
	}
	return a, nil
}

func expectDelim(dec *json.Decoder, want json.Delim) error {
	got, err := dec.Token()
	if err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("got %v, want %v", got, want)
	}
	return nil
}

// skipValue passes over one value of any size.
func skipValue(dec *json.Decoder) error {
	for depth := 0; ; {
		t, err := dec.Token()
		if err != nil {
			return err
		}
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// valueLimitReader is a reader that fails once the decoder would have to keep too much for one value.
type valueLimitReader struct {
	input     io.Reader
	decoder   *json.Decoder
	bytesRead int64
}

func (b *valueLimitReader) Read(p []byte) (int, error) {
	if b.bytesRead-b.decoder.InputOffset() > maxValueBytes {
		return 0, fmt.Errorf("a value of more than %d bytes", maxValueBytes)
	}
	n, err := b.input.Read(p)
	b.bytesRead += int64(n)
	return n, err
}

// comparison finds out what an answer changes in the directory.
type comparison struct {
	directory       *Directory
	seenIDs         map[logic.EndpointID]*[recordsPerPage / 64]uint64 // a bit for each number that the answer has, by number / pageSize
	changedRows     []Instance                                        // what differs ...
	changedIndex    map[string]int32                                  // ... and where it is there
	internedStrings map[string]string                                 // zones and kinds, each kept once
	rowCount        int
	maxRows         int // rows that the answer may have; 0 for no limit
	unusableRows    int
	duplicateRows   int
}

func (d *Directory) newComparison() *comparison {
	return &comparison{directory: d, seenIDs: map[logic.EndpointID]*[recordsPerPage / 64]uint64{}, changedIndex: map[string]int32{}, internedStrings: map[string]string{}}
}

// readRows takes a list of instances; false if there is none.
func (c *comparison) readRows(dec *json.Decoder) (bool, error) {
	t, err := dec.Token()
	if err != nil || t == nil {
		return false, err
	}
	if t != json.Delim('[') {
		return false, fmt.Errorf("instances are %v", t)
	}
	var r instanceBuffer
	for dec.More() {
		if c.rowCount == c.maxRows && c.maxRows > 0 {
			return true, fmt.Errorf("%w: over %d rows", errListTooLarge, c.maxRows)
		}
		r.reset()
		err := dec.Decode(&r)
		var wrong *json.UnmarshalTypeError
		if err != nil && !errors.As(err, &wrong) {
			return true, err
		}
		c.addRow(&r, err == nil) // what has a field of a wrong kind, or a number out of range, has been read to its end
	}
	_, err = dec.Token()
	return true, err
}

// addRow takes a row. One that makes no sense leaves what it names as it was.
func (c *comparison) addRow(r *instanceBuffer, sound bool) {
	c.rowCount++
	c.directory.mu.RLock()
	defer c.directory.mu.RUnlock()
	id, known := c.directory.idsByName[string(r.ID)]
	var old *record
	if known {
		old = c.directory.record(id)
	}
	gone := string(r.Lifecycle) == "removed"
	if !sound || len(r.ID) == 0 || r.Destination < 0 || !gone && (old == nil || old.address == "") && !isValidHostPort(string(r.HostPort)) {
		c.unusableRows++
		if known {
			c.markSeen(id)
		}
		return
	}
	place, staged := c.changedIndex[string(r.ID)]
	if known && !c.markSeen(id) || staged {
		c.duplicateRows++
	}
	switch {
	case staged:
		c.changedRows[place] = c.toInstance(r)
	case c.directory.differs(old, r):
		in := c.toInstance(r)
		c.changedIndex[in.ID] = int32(len(c.changedRows))
		c.changedRows = append(c.changedRows, in)
	}
}

// markSeen notes that the answer has a number; false if it had it already.
func (c *comparison) markSeen(id logic.EndpointID) bool {
	bits := c.seenIDs[id/recordsPerPage]
	if bits == nil {
		bits = new([recordsPerPage / 64]uint64)
		c.seenIDs[id/recordsPerPage] = bits
	}
	word, bit := &bits[id%recordsPerPage/64], uint64(1)<<(id%64)
	was := *word&bit != 0
	*word |= bit
	return !was
}

func (c *comparison) hasSeen(id logic.EndpointID) bool {
	bits := c.seenIDs[id/recordsPerPage]
	return bits != nil && bits[id%recordsPerPage/64]&(1<<(id%64)) != 0
}

// differs says whether a row tells anything new of a record, which may be nil.
func (d *Directory) differs(old *record, r *instanceBuffer) bool {
	now := parseLifecycle(string(r.Lifecycle))
	if old == nil || old.state != now || now == stateUnlisted {
		return now != stateUnlisted || old != nil && old.state != stateUnlisted
	}
	return old.destination != r.Destination || old.weight != r.Weight || !d.zones.matches(old.zoneLabel, string(r.Zone)) ||
		!d.kinds.matches(old.kindLabel, string(r.Kind)) || old.address != string(r.HostPort) && isValidHostPort(string(r.HostPort))
}

// toInstance is a row that is kept.
func (c *comparison) toInstance(r *instanceBuffer) Instance {
	return Instance{ID: string(r.ID), HostPort: string(r.HostPort), Zone: c.intern(r.Zone), Kind: c.intern(r.Kind), Destination: r.Destination,
		Lifecycle: parseLifecycle(string(r.Lifecycle)).lifecycle(), Weight: r.Weight}
}

func (c *comparison) intern(b []byte) string {
	s, ok := c.internedStrings[string(b)]
	if !ok {
		s = string(b)
		if len(c.internedStrings) < maxLabels {
			c.internedStrings[s] = s
		}
	}
	return s
}

// toUpdate is what the answer changes. A whole list takes off what it does not have.
func (c *comparison) toUpdate(generation int64, whole bool) Update {
	u := Update{Generation: generation, Whole: whole, Rows: c.changedRows, UnusableRows: c.unusableRows, DuplicateRows: c.duplicateRows}
	if !whole {
		return u
	}
	c.directory.mu.RLock()
	defer c.directory.mu.RUnlock()
	var gone []Instance
	for id, r := range c.directory.records() {
		if r.state != stateUnlisted && !c.hasSeen(id) {
			in := c.directory.instance(r)
			in.Lifecycle = "removed"
			gone = append(gone, in)
		}
	}
	if len(gone) > 0 {
		u.Rows = append(gone, u.Rows...)
	}
	return u
}

// This file reads answers of discovery as a stream, row by row, and reduces them to what differs from the directory.

package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"crossdeal/logic"
)

const maxValueBytes = 1 << 20 // of one value in an answer

// answer is an answer of discovery, reduced to an update.
type answer struct {
	Update
	rowCount     int  // number of its rows
	hasInstances bool // it has a list of instances, which may be empty
}

// reusableText holds a string of one row; its memory is reused for the next row.
type reusableText []byte

func (t *reusableText) UnmarshalText(b []byte) error {
	*t = append((*t)[:0], b...)
	return nil
}

// instanceBuffer is the row that is being read. It is reused for the next one.
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

// Diff returns what a list changes in the directory.
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

// readAnswer reads an answer row by row and compares it with the directory. The fields may come in any order. Only the
// rows that differ are kept in memory. More than maxRows rows are an error; 0 is no limit.
func (d *Directory) readAnswer(input io.Reader, maxRows int) (*answer, error) {
	limited := &valueLimitReader{input: input}
	dec := json.NewDecoder(limited)
	limited.decoder = dec
	a, c := &answer{}, d.newComparison()
	c.maxRows = maxRows
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
		return nil, fmt.Errorf("none of its %d rows is well-formed", c.rowCount)
	}
	a.rowCount = c.rowCount
	if !whole || a.hasInstances { // otherwise there is nothing to compare
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

// skipValue skips one value of any size.
func skipValue(dec *json.Decoder) error {
	for depth := 0; ; {
		token, err := dec.Token()
		if err != nil {
			return err
		}
		switch token {
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

// valueLimitReader fails once the decoder has read more than maxValueBytes that it could not consume: a value that is
// too large.
type valueLimitReader struct {
	input     io.Reader
	decoder   *json.Decoder
	bytesRead int64
}

func (r *valueLimitReader) Read(p []byte) (int, error) {
	if r.bytesRead-r.decoder.InputOffset() > maxValueBytes {
		return 0, fmt.Errorf("a value of more than %d bytes", maxValueBytes)
	}
	n, err := r.input.Read(p)
	r.bytesRead += int64(n)
	return n, err
}

// comparison collects what an answer changes in the directory.
type comparison struct {
	directory *Directory
	// A bit for each endpoint number that the answer names, by number / recordsPerPage.
	seenIDs         map[logic.EndpointID]*[recordsPerPage / 64]uint64
	changedRows     []Instance        // rows that differ from the directory
	changedIndex    map[string]int32  // index in changedRows by endpoint name
	internedStrings map[string]string // zones and kinds, one copy of each
	rowCount        int
	maxRows         int // 0 for no limit
	unusableRows    int
	duplicateRows   int
}

func (d *Directory) newComparison() *comparison {
	return &comparison{directory: d, seenIDs: map[logic.EndpointID]*[recordsPerPage / 64]uint64{},
		changedIndex: map[string]int32{}, internedStrings: map[string]string{}}
}

// readRows reads the list of instances. It returns false if the value is null.
func (c *comparison) readRows(dec *json.Decoder) (bool, error) {
	token, err := dec.Token()
	if err != nil || token == nil {
		return false, err
	}
	if token != json.Delim('[') {
		return false, fmt.Errorf("instances are not a list but %v", token)
	}
	var r instanceBuffer
	for dec.More() {
		if c.rowCount == c.maxRows && c.maxRows > 0 {
			return true, fmt.Errorf("%w: over %d rows", errListTooLarge, c.maxRows)
		}
		r.reset()
		err := dec.Decode(&r)
		var typeErr *json.UnmarshalTypeError
		if err != nil && !errors.As(err, &typeErr) {
			return true, err
		}
		c.addRow(&r, err == nil) // a row with a field of a wrong type, or a number out of range, has been read to its end
	}
	_, err = dec.Token()
	return true, err
}

// addRow compares a row with the directory. A malformed row leaves the endpoint that it names unchanged.
func (c *comparison) addRow(r *instanceBuffer, valid bool) {
	c.rowCount++
	c.directory.mu.RLock()
	defer c.directory.mu.RUnlock()
	id, known := c.directory.idsByName[string(r.ID)]
	var current *endpointRecord
	if known {
		current = c.directory.record(id)
	}
	removed := string(r.Lifecycle) == "removed"
	if !valid || len(r.ID) == 0 || r.Destination < 0 ||
		!removed && (current == nil || current.address == "") && !isValidHostPort(string(r.HostPort)) {
		c.unusableRows++
		if known {
			c.markSeen(id)
		}
		return
	}
	index, staged := c.changedIndex[string(r.ID)]
	if known && !c.markSeen(id) || staged {
		c.duplicateRows++
	}
	switch {
	case staged:
		c.changedRows[index] = c.toInstance(r)
	case c.directory.differs(current, r):
		in := c.toInstance(r)
		c.changedIndex[in.ID] = int32(len(c.changedRows))
		c.changedRows = append(c.changedRows, in)
	}
}

// markSeen notes that the answer names an endpoint. It returns false if the answer has already named it.
func (c *comparison) markSeen(id logic.EndpointID) bool {
	bits := c.seenIDs[id/recordsPerPage]
	if bits == nil {
		bits = new([recordsPerPage / 64]uint64)
		c.seenIDs[id/recordsPerPage] = bits
	}
	word, bit := &bits[id%recordsPerPage/64], uint64(1)<<(id%64)
	alreadySeen := *word&bit != 0
	*word |= bit
	return !alreadySeen
}

// hasSeen reports whether the answer names an endpoint.
func (c *comparison) hasSeen(id logic.EndpointID) bool {
	bits := c.seenIDs[id/recordsPerPage]
	return bits != nil && bits[id%recordsPerPage/64]&(1<<(id%64)) != 0
}

// differs reports whether a row differs from a record, which may be nil.
func (d *Directory) differs(current *endpointRecord, r *instanceBuffer) bool {
	state := parseLifecycle(string(r.Lifecycle))
	if current == nil || current.state != state || state == stateUnlisted {
		return state != stateUnlisted || current != nil && current.state != stateUnlisted
	}
	return current.destination != r.Destination || current.weight != r.Weight ||
		!d.zones.matches(current.zoneLabel, string(r.Zone)) || !d.kinds.matches(current.kindLabel, string(r.Kind)) ||
		current.address != string(r.HostPort) && isValidHostPort(string(r.HostPort))
}

// toInstance returns a copy of the row.
func (c *comparison) toInstance(r *instanceBuffer) Instance {
	return Instance{ID: string(r.ID), HostPort: string(r.HostPort), Zone: c.intern(r.Zone), Kind: c.intern(r.Kind),
		Destination: r.Destination, Lifecycle: parseLifecycle(string(r.Lifecycle)).lifecycle(), Weight: r.Weight}
}

// intern returns b as a string, one copy for equal values, of up to maxLabels different ones.
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

// toUpdate returns what the answer changes. A whole list removes the endpoints that it does not name.
func (c *comparison) toUpdate(generation int64, whole bool) Update {
	u := Update{Generation: generation, Whole: whole, Rows: c.changedRows, UnusableRows: c.unusableRows,
		DuplicateRows: c.duplicateRows}
	if !whole {
		return u
	}
	c.directory.mu.RLock()
	defer c.directory.mu.RUnlock()
	var removed []Instance
	for id, r := range c.directory.records() {
		if r.state != stateUnlisted && !c.hasSeen(id) {
			in := c.directory.instance(r)
			in.Lifecycle = "removed"
			removed = append(removed, in)
		}
	}
	if len(removed) > 0 {
		u.Rows = append(removed, u.Rows...)
	}
	return u
}

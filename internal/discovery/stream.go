package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"crossdeal/logic"
)

const longestRow = 1 << 20 // bytes of one value in an answer

// answer is what has been read of an answer of discovery.
type answer struct {
	Update
	count  int  // rows that it had
	listed bool // it had a list of instances
}

// text keeps the bytes of a string for the time of one row.
type text []byte

func (t *text) UnmarshalText(b []byte) error {
	*t = append((*t)[:0], b...)
	return nil
}

// rowText is an Instance that is being read: it is used again for the next one.
type rowText struct {
	ID        text    `json:"instanceId"`
	HostPort  text    `json:"hostPort"`
	Zone      text    `json:"zone"`
	Kind      text    `json:"machineType"`
	Dest      int64   `json:"cell"`
	Lifecycle text    `json:"lifecycle"`
	Weight    float64 `json:"weight"`
}

func (r *rowText) reset() {
	r.ID, r.HostPort, r.Zone, r.Kind, r.Lifecycle = r.ID[:0], r.HostPort[:0], r.Zone[:0], r.Kind[:0], r.Lifecycle[:0]
	r.Dest, r.Weight = 0, 0
}

// Reduce turns a list into an update.
func (d *Directory) Reduce(l List) Update {
	c := d.compare()
	var r rowText
	for i := range l.Instances {
		in := &l.Instances[i]
		r = rowText{append(r.ID[:0], in.ID...), append(r.HostPort[:0], in.HostPort...), append(r.Zone[:0], in.Zone...),
			append(r.Kind[:0], in.Kind...), in.Dest, append(r.Lifecycle[:0], in.Lifecycle...), in.Weight}
		c.add(&r, true)
	}
	return c.update(l.Generation, l.Reset)
}

// read reads an answer row by row, its fields in any order, and compares it with the directory. It holds no more of it
// than the rows that differ.
func (d *Directory) read(in io.Reader) (*answer, error) {
	bound := &boundedLookAhead{in: in}
	dec := json.NewDecoder(bound)
	bound.dec = dec
	a, c := &answer{}, d.compare()
	if err := expect(dec, json.Delim('{')); err != nil {
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
			a.listed, err = c.readRows(dec)
		default:
			err = skip(dec)
		}
		if err != nil {
			return nil, err
		}
	}
	if err := expect(dec, json.Delim('}')); err != nil {
		return nil, err
	}
	if whole && a.listed && c.count > 0 && c.count == c.unusable {
		return nil, fmt.Errorf("none of its %d rows makes sense", c.count)
	}
	a.count = c.count
	if !whole || a.listed { // else there is nothing to compare with
		a.Update = c.update(generation, whole)
	} else {
		a.Generation, a.Whole = generation, whole
	}
	return a, nil
}

func expect(dec *json.Decoder, want json.Delim) error {
	got, err := dec.Token()
	if err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("got %v, want %v", got, want)
	}
	return nil
}

// skip passes over one value of any size.
func skip(dec *json.Decoder) error {
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

// boundedLookAhead is a reader that fails once the decoder would have to keep too much for one value.
type boundedLookAhead struct {
	in   io.Reader
	dec  *json.Decoder
	read int64
}

func (b *boundedLookAhead) Read(p []byte) (int, error) {
	if b.read-b.dec.InputOffset() > longestRow {
		return 0, fmt.Errorf("a value of more than %d bytes", longestRow)
	}
	n, err := b.in.Read(p)
	b.read += int64(n)
	return n, err
}

// comparison finds out what an answer changes in the directory.
type comparison struct {
	d          *Directory
	seen       map[logic.EndpointID]*[pageSize / 64]uint64 // a bit for each number that the answer has, by number / pageSize
	rows       []Instance                                  // what differs ...
	index      map[string]int32                            // ... and where it is there
	words      map[string]string                           // zones and kinds, each kept once
	count      int
	unusable   int
	duplicates int
}

func (d *Directory) compare() *comparison {
	return &comparison{d: d, seen: map[logic.EndpointID]*[pageSize / 64]uint64{}, index: map[string]int32{}, words: map[string]string{}}
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
	var r rowText
	for dec.More() {
		r.reset()
		err := dec.Decode(&r)
		var wrong *json.UnmarshalTypeError
		if err != nil && !errors.As(err, &wrong) {
			return true, err
		}
		c.add(&r, err == nil) // what has a field of a wrong kind, or a number out of range, has been read to its end
	}
	_, err = dec.Token()
	return true, err
}

// add takes a row. One that makes no sense leaves what it names as it was.
func (c *comparison) add(r *rowText, sound bool) {
	c.count++
	c.d.mu.RLock()
	defer c.d.mu.RUnlock()
	id, known := c.d.ids[string(r.ID)]
	var old *record
	if known {
		old = c.d.record(id)
	}
	gone := string(r.Lifecycle) == "removed"
	if !sound || len(r.ID) == 0 || r.Dest < 0 || !gone && (old == nil || old.addr == "") && !reachable(string(r.HostPort)) {
		c.unusable++
		if known {
			c.mark(id)
		}
		return
	}
	place, staged := c.index[string(r.ID)]
	if known && !c.mark(id) || staged {
		c.duplicates++
	}
	switch {
	case staged:
		c.rows[place] = c.instance(r)
	case c.d.differs(old, r):
		in := c.instance(r)
		c.index[in.ID] = int32(len(c.rows))
		c.rows = append(c.rows, in)
	}
}

// mark notes that the answer has a number; false if it had it already.
func (c *comparison) mark(id logic.EndpointID) bool {
	bits := c.seen[id/pageSize]
	if bits == nil {
		bits = new([pageSize / 64]uint64)
		c.seen[id/pageSize] = bits
	}
	word, bit := &bits[id%pageSize/64], uint64(1)<<(id%64)
	was := *word&bit != 0
	*word |= bit
	return !was
}

func (c *comparison) has(id logic.EndpointID) bool {
	bits := c.seen[id/pageSize]
	return bits != nil && bits[id%pageSize/64]&(1<<(id%64)) != 0
}

// differs says whether a row tells anything new of a record, which may be nil.
func (d *Directory) differs(old *record, r *rowText) bool {
	now := stateOf(string(r.Lifecycle))
	if old == nil || old.state != now || now == unlisted {
		return now != unlisted || old != nil && old.state != unlisted
	}
	return old.dest != r.Dest || old.weight != r.Weight || !d.zones.is(old.zone, string(r.Zone)) ||
		!d.kinds.is(old.kind, string(r.Kind)) || old.addr != string(r.HostPort) && reachable(string(r.HostPort))
}

// instance is a row that is kept.
func (c *comparison) instance(r *rowText) Instance {
	return Instance{ID: string(r.ID), HostPort: string(r.HostPort), Zone: c.word(r.Zone), Kind: c.word(r.Kind), Dest: r.Dest,
		Lifecycle: stateOf(string(r.Lifecycle)).lifecycle(), Weight: r.Weight}
}

func (c *comparison) word(b []byte) string {
	s, ok := c.words[string(b)]
	if !ok {
		s = string(b)
		if len(c.words) < labelMost {
			c.words[s] = s
		}
	}
	return s
}

// update is what the answer changes. A whole list takes off what it does not have.
func (c *comparison) update(generation int64, whole bool) Update {
	u := Update{Generation: generation, Whole: whole, Rows: c.rows, Unusable: c.unusable, Duplicates: c.duplicates}
	if !whole {
		return u
	}
	c.d.mu.RLock()
	defer c.d.mu.RUnlock()
	var gone []Instance
	for id, r := range c.d.records() {
		if r.state != unlisted && !c.has(id) {
			in := c.d.instance(r)
			in.Lifecycle = "removed"
			gone = append(gone, in)
		}
	}
	if len(gone) > 0 {
		u.Rows = append(gone, u.Rows...)
	}
	return u
}

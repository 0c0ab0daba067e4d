package logic

import (
	"encoding/binary"
	"errors"
	"iter"
	"math"
	"math/bits"
)

// The tables of a Sender as rows, one for each destination and endpoint, for a state transfer in bounded memory. A
// row ends with its last field that differs from what a new destination or endpoint has; what follows the fields that
// are known here is skipped, so that a later version may add some.

// errRow says that a row cannot be read.
var errRow = errors.New("a row of the state that makes no sense")

const (
	rowDest     = 'd'
	rowEndpoint = 'e' // follows its destination's
)

// coder writes or reads the fields of a row: each method takes a field's value from where its argument points, or
// puts it there. A field that is not in the row stays as it is.
type coder struct {
	row  []byte
	read bool
	bad  bool
	keep int    // length of the row up to the last field that tells something
	now  Micros // times are told against this
}

// field is one of them; usual is what it is in a new destination or endpoint.
func (c *coder) field(x, usual uint64) uint64 {
	if !c.read {
		c.row = binary.AppendUvarint(c.row, x)
		if x != usual {
			c.keep = len(c.row)
		}
		return x
	}
	if len(c.row) == 0 {
		return x
	}
	v, n := binary.Uvarint(c.row)
	if n <= 0 {
		c.bad, c.row = true, nil
		return x
	}
	c.row = c.row[n:]
	return v
}

func zig(x int64) uint64   { return uint64(x<<1) ^ uint64(x>>63) }
func unzig(x uint64) int64 { return int64(x>>1) ^ -int64(x&1) }

// whole is a field that is a whole number.
func whole[T ~int | ~int32 | ~int64 | ~uint32 | ~uint16 | ~uint8](c *coder, x *T) {
	*x = T(unzig(c.field(zig(int64(*x)), 0)))
}

// time is a field that is a time; in a new endpoint it is longAgo or nought.
func (c *coder) time(x *Micros, usual Micros) {
	c.timeField(x, c.code(usual))
}

func (c *coder) code(t Micros) uint64 {
	switch t {
	case longAgo:
		return 0
	case 0:
		return 1
	}
	return 2 + zig(int64(min(max(t-c.now, -1<<61), 1<<61)))
}

func (c *coder) timeField(x *Micros, usual uint64) {
	switch v := c.field(c.code(*x), usual); v {
	case 0:
		*x = longAgo
	case 1:
		*x = 0
	default:
		*x = c.now + Micros(unzig(v-2))
	}
}

// float is a field with a fraction. Its bits are turned around, since those at the end are mostly nought.
func (c *coder) float(x *float64) {
	v := c.field(bits.ReverseBytes64(math.Float64bits(*x)), 0)
	*x = math.Float64frombits(bits.ReverseBytes64(v))
}

func (c *coder) flags(xs ...*bool) {
	v := uint64(0)
	for i, x := range xs {
		if *x {
			v |= 1 << i
		}
	}
	v = c.field(v, 0)
	for i, x := range xs {
		*x = v>>i&1 == 1
	}
}

// count is the length of what follows; more than the row can hold makes no sense.
func (c *coder) count(n int) int {
	n = int(c.field(uint64(n), 0))
	if c.read && (n < 0 || n > len(c.row)) {
		c.bad = true
		return 0
	}
	return n
}

func (c *coder) times(xs *[]Micros) {
	n := c.count(len(*xs))
	if c.read && n > 0 {
		*xs = make([]Micros, n)
	}
	for i := range *xs {
		c.timeField(&(*xs)[i], math.MaxUint64) // none is usual: each is in the row
	}
}

func (c *coder) hist(h *hist) {
	b := h.bins
	if b == nil {
		b = &bins{}
	}
	whole(c, &b.low)
	n := c.count(len(b.w))
	if c.read && (b.low < 0 || b.low+n > binCount+1) {
		c.bad, n = true, 0
	}
	if c.read && n > 0 {
		b.w = make([]float64, n)
		h.bins = b
	}
	for i := range b.w {
		c.float(&b.w[i])
	}
	c.float(&h.total)
	c.float(&h.cuts)
	c.time(&h.at, 0)
	if c.read && h.total >= minWeight { // what is read of it before the next sample
		h.update()
	}
}

func (c *coder) lane(l *lane) {
	c.float(&l.limit)
	c.float(&l.left)
	c.float(&l.tokens)
	c.time(&l.filled, 0)
	c.float(&l.peak)
	c.float(&l.phase)
	c.times(&l.sent)
	c.flags(&l.told)
	whole(c, &l.fulls)
	c.float(&l.pace)
	c.time(&l.halved, 0)
	c.time(&l.until, 0)
	c.time(&l.firstFull, 0)
}

func (c *coder) dest(d *dest) {
	whole(c, &d.kind)
	whole(c, &d.next)
	c.time(&d.used, 0)
	whole(c, &d.came)
	c.time(&d.downAt, 0)
	c.lane(d.lane)
	c.hist(&d.hist)
}

func (c *coder) endpoint(e *endpoint) {
	whole(c, &e.zone)
	whole(c, &e.state)
	c.time(&e.lastSent, longAgo)
	c.time(&e.lastOK, longAgo)
	c.time(&e.well, longAgo)
	c.time(&e.warm, 0)
	c.float(&e.slow)
	c.times(&e.sent)
	c.flags(&e.suspect, &e.cold)
	c.time(&e.lastBad, longAgo)
	c.float(&e.bad)
	whole(c, &e.fails)
	whole(c, &e.fulls)
	c.time(&e.backAt, 0)
	c.time(&e.trialAt, 0)
	c.time(&e.trialGap, 0)
	if own := e.lane != e.dest.lane; c.field(b2u(own), 0) == 1 {
		if c.read {
			e.lane = &lane{}
		}
		c.lane(e.lane)
	}
}

func b2u(x bool) uint64 {
	if x {
		return 1
	}
	return 0
}

// Rows yields the tables of destinations and endpoints, row by row. A row is good until the next.
func (s *Sender) Rows() iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		c := &coder{now: s.now}
		begin := func(kind byte, id int64) {
			c.row = binary.AppendVarint(append(c.row[:0], kind), id)
			c.keep = len(c.row)
		}
		endpoint := func(e *endpoint) bool {
			begin(rowEndpoint, e.dest.id)
			c.row = binary.AppendUvarint(c.row, uint64(e.id))
			c.keep = len(c.row)
			c.endpoint(e)
			return yield(c.row[:c.keep])
		}
		for _, d := range s.order {
			begin(rowDest, d.id)
			c.dest(d)
			if !yield(c.row[:c.keep]) {
				return
			}
			for _, e := range d.eps {
				if !endpoint(e) {
					return
				}
			}
		}
		for _, e := range s.eps {
			if e.state == Gone && !endpoint(e) {
				return
			}
		}
	}
}

// takeRow puts a row into the tables. Rows of a kind that is not known are skipped.
func (s *Sender) takeRow(row []byte) error {
	if len(row) == 0 {
		return errRow
	}
	c := &coder{read: true, now: s.now}
	id, n := binary.Varint(row[1:])
	if n <= 0 {
		return errRow
	}
	c.row = row[1+n:]
	switch row[0] {
	case rowDest:
		d := &dest{id: id, lane: &lane{}}
		if s.dests[id] != nil {
			return errRow
		}
		if c.dest(d); d.next < 0 {
			return errRow
		}
		s.dests[id] = d
		s.order = append(s.order, d)
	case rowEndpoint:
		d := s.dest(id) // one that is gone may have outlived its destination
		ep, n := binary.Uvarint(c.row)
		if n <= 0 || s.eps[EndpointID(ep)] != nil {
			return errRow
		}
		c.row = c.row[n:]
		e := newEndpoint(EndpointID(ep), d)
		c.endpoint(e)
		if e.state > Gone {
			return errRow
		}
		d.hurt = d.hurt || e.cold || e.suspect
		s.eps[e.id] = e
		if e.state != Gone {
			d.eps = append(d.eps, e)
		}
	}
	if c.bad {
		return errRow
	}
	return nil
}

// SaveRest returns what Rows does not yield. Together they are the state, as Save returns it.
func (s *Sender) SaveRest() Saved {
	x := s.save(false)
	x.Sizes = []int{len(s.dests), len(s.eps)}
	return x
}

// ResumeRows is Resume for a state in rows.
func ResumeRows(set Settings, seed uint64, x Saved, rows iter.Seq2[[]byte, error]) (*Sender, error) {
	s, err := New(set, seed)
	if err != nil {
		return nil, err
	}
	s.now = x.Now
	if len(x.Sizes) == 2 {
		room := func(n int) int { return min(max(n, 0), 1<<20) }
		s.dests = make(map[int64]*dest, room(x.Sizes[0]))
		s.order = make([]*dest, 0, room(x.Sizes[0]))
		s.eps = make(map[EndpointID]*endpoint, room(x.Sizes[1]))
	}
	for row, err := range rows {
		if err != nil {
			return nil, err
		}
		if err := s.takeRow(row); err != nil {
			return nil, err
		}
	}
	s.resumeRest(x)
	return s, nil
}
